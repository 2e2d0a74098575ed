// One change to a placement table. Several make up one write.

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

// Takes an owned slice from its owner: no new lease for it from now on.
struct begin_move {
  slice_range range;
  move_cause cause = move_cause::kRebalance;
  std::optional<endpoint_id> to;

  friend bool operator==(const begin_move&, const begin_move&) = default;
};

// Gives a slice without owner to `owner`. The proposer has made sure that no
// former owner can hold a lease any more.
struct assign_slice {
  slice_range range;
  endpoint_instance owner;
  domain_name domain;

  friend bool operator==(const assign_slice&, const assign_slice&) = default;
};

// Divides a slice. `at` becomes the first hash of the second part.
struct split_slice {
  slice_range range;
  key_hash at = 0;

  friend bool operator==(const split_slice&, const split_slice&) = default;
};

// Joins two neighbouring slices of one owner into one with a higher epoch.
struct merge_slices {
  slice_range left;
  slice_range right;

  friend bool operator==(const merge_slices&, const merge_slices&) = default;
};

struct set_roster {
  domain_name domain;
  std::set<daemon_instance> members;

  friend bool operator==(const set_roster&, const set_roster&) = default;
};

// Forgets the former rosters of a domain that were replaced at `up_to` or
// before. The proposer has made sure that they are excluded.
struct clear_former_rosters {
  domain_name domain;
  table_version up_to;

  friend bool operator==(const clear_former_rosters&,
                         const clear_former_rosters&) = default;
};

// An operator states that the hosts of a domain run nothing any more. Its
// rosters are emptied and its slices lose their owners at once.
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
