// One change to a placement table. A write applies one or more edits.

#ifndef BLUEBELL_PLACEMENT_TABLE_EDIT_H_
#define BLUEBELL_PLACEMENT_TABLE_EDIT_H_

#include <optional>
#include <set>
#include <string>
#include <variant>

#include "bluebell/core/ids.h"
#include "bluebell/placement/slice.h"
#include "bluebell/placement/slice_range.h"

namespace bluebell {

// Starts to move an owned slice off its owner. From this version on, nobody
// grants new leases for the slice until it has a new owner. `to` is the
// intended next owner, if there is one.
struct begin_move {
  slice_range range;
  move_cause cause = move_cause::kRebalance;
  std::optional<endpoint_id> to;

  friend bool operator==(const begin_move&, const begin_move&) = default;
};

// Assigns a slice without an owner to `owner` in the failure domain `domain`.
// Precondition: no former owner can hold a lease any more. The daemon that
// proposes the edit checks this.
struct assign_slice {
  slice_range range;
  endpoint_instance owner;
  domain_name domain;

  friend bool operator==(const assign_slice&, const assign_slice&) = default;
};

// Splits a slice in two. `at` becomes the first hash of the second part; it
// must lie in the range and must not be its first hash.
struct split_slice {
  slice_range range;
  key_hash at = 0;

  friend bool operator==(const split_slice&, const split_slice&) = default;
};

// Merges two adjacent slices of one owner into one with a higher epoch.
struct merge_slices {
  slice_range left;
  slice_range right;

  friend bool operator==(const merge_slices&, const merge_slices&) = default;
};

// Replaces the current roster of `domain`. A roster with members stays in the
// table as a former roster.
struct set_roster {
  domain_name domain;
  std::set<daemon_instance> members;

  friend bool operator==(const set_roster&, const set_roster&) = default;
};

// Removes the former rosters of a domain that were replaced at the version
// `up_to` or before. Precondition: no daemon can renew leases under them any
// more. The daemon that proposes the edit checks this.
struct clear_former_rosters {
  domain_name domain;
  table_version up_to;

  friend bool operator==(const clear_former_rosters&,
                         const clear_former_rosters&) = default;
};

// Records an operator's statement that no process of the failure domain runs
// any more. All rosters of the domain are cleared, and its slices become
// unassigned at once, without waiting for leases to expire.
struct declare_lost {
  domain_name domain;

  friend bool operator==(const declare_lost&, const declare_lost&) = default;
};

using table_edit = std::variant<begin_move,
                                assign_slice,
                                split_slice,
                                merge_slices,
                                set_roster,
                                clear_former_rosters,
                                declare_lost>;

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_TABLE_EDIT_H_
