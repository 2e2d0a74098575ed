// The table of which endpoint instance owns which keys of one service. The
// platform's store keeps it as one value. The coordinator grants keys to an
// owner only after the table that names this owner has been written. An
// immutable value: With() returns a new table.
//
//   key_table table;
//   table = table.With({range}, owner);   // a new fence for the range
//   const key_assignment* owner = table.Find(key);

#ifndef BLUEBELL_KEYSPACE_KEY_TABLE_H_
#define BLUEBELL_KEYSPACE_KEY_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/core/store_era.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

// One range of keys, its owner and its fencing token.
struct key_assignment {
  key_range range;
  endpoint_instance owner;
  // Fencing token: each assignment gets a higher one than all assignments
  // before, and endpoints refuse grants with a lower one than they have seen.
  epoch fence;

  friend bool operator==(const key_assignment&,
                         const key_assignment&) = default;
};

class key_table {
 public:
  key_table() = default;

  // Fails with errc::kInvalidArgument unless the assignments are in ascending
  // order of their ranges, don't overlap, and have fences of at most
  // `highest_fence`.
  static result<key_table> Make(epoch highest_fence,
                                std::vector<key_assignment> assignments);

  // The table in which `owner` owns `range`, with a fence above all others.
  // Former owners keep the rest of their ranges and fences.
  key_table With(const key_range& range, const endpoint_instance& owner) const;

  // The table in which neighbouring assignments of one owner within `range` are
  // one, with the highest of their fences. No other assignment has had that
  // fence on these keys since, so highest_fence() stays.
  key_table Joined(const key_range& range) const;

  // The table whose further fences belong to `era` of the store: they are above
  // all fences of earlier eras, whatever tables of these were lost. The
  // assignments keep theirs.
  key_table InEra(const store_era& era) const;
  // The same, with a new fence for each assignment. Endpoints may have seen
  // higher fences than those of a table from an older copy of the store.
  key_table WithNewFences(const store_era& era) const;
  // The table in which `range` has no owner.
  key_table Without(const key_range& range) const;

  // The store's era to which the highest fence belongs. A table of an earlier
  // era than the store's comes from an older copy: the coordinator writes it in
  // the present era before it moves a key.
  store_era era() const;

  // The assignment that contains `key`, or null if the key has no owner. Valid
  // as long as this table.
  const key_assignment* Find(shard_key key) const;
  // Ranges without an owner, in ascending order.
  std::vector<key_range> Unassigned() const;

  const std::vector<key_assignment>& assignments() const {
    return assignments_;
  }
  const epoch& highest_fence() const { return highest_fence_; }

  // The JSON text that the store keeps. FromJson() fails with
  // errc::kInvalidArgument if the text is malformed or Make() would fail.
  std::string ToJson() const;
  static result<key_table> FromJson(std::string_view text);

  friend bool operator==(const key_table&, const key_table&) = default;

 private:
  epoch highest_fence_;
  std::vector<key_assignment> assignments_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_TABLE_H_
