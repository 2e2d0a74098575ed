// States which endpoint instance owns each slice of a table shard, and which
// daemons may renew leases for these slices. The table is an immutable value.
// Each change creates a new version, which is written to the platform's store
// by compare-and-swap.
//
//   placement_table table = placement_table::Initial(service, 0, 64, domains);
//   result<placement_table> next = table.Apply(edits, change_id("..."));

#ifndef BLUEBELL_PLACEMENT_PLACEMENT_TABLE_H_
#define BLUEBELL_PLACEMENT_PLACEMENT_TABLE_H_

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/placement/domain_roster.h"
#include "bluebell/placement/slice.h"
#include "bluebell/placement/table_edit.h"

namespace bluebell {

class placement_table {
 public:
  // Version zero, which is never stored: all slices are unassigned and all
  // rosters are empty. `slice_count` must be at least 1.
  static placement_table Initial(service_name service,
                                 std::uint32_t shard,
                                 std::uint32_t slice_count,
                                 const std::set<domain_name>& domains);

  // A table from its parts. Fails with errc::kMalformedMessage unless the
  // slices are in ascending order and cover the whole hash space without
  // overlap.
  static result<placement_table> Make(service_name service,
                                      std::uint32_t shard,
                                      table_version version,
                                      change_id change,
                                      std::vector<slice> slices,
                                      std::vector<domain_roster> rosters);

  // The next version, with all `edits` applied in order; `change` identifies
  // its write. Fails with errc::kConflict if an edit does not fit the state of
  // its slice or roster.
  result<placement_table> Apply(std::span<const table_edit> edits,
                                const change_id& change) const;

  const service_name& service() const { return service_; }
  std::uint32_t shard() const { return shard_; }
  table_version version() const { return version_; }
  // The id of the write that created this version.
  const change_id& change() const { return change_; }
  const std::vector<slice>& slices() const { return slices_; }
  const std::vector<domain_roster>& rosters() const { return rosters_; }

  // The slice whose range contains `hash`.
  const slice& FindSlice(key_hash hash) const;
  // Null if the table has no roster for `domain`.
  const domain_roster* FindRoster(const domain_name& domain) const;

  // Whether `member` is on the current roster of `domain`.
  bool IsRosterMember(const domain_name& domain,
                      const daemon_instance& member) const;

  friend bool operator==(const placement_table&,
                         const placement_table&) = default;

 private:
  class editor;

  placement_table() = default;

  service_name service_;
  std::uint32_t shard_ = 0;
  table_version version_;
  change_id change_;
  std::vector<slice> slices_;
  std::vector<domain_roster> rosters_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_PLACEMENT_TABLE_H_
