// Which endpoint instance owns which keys of one service. It is kept as one
// value in the platform's store; an owner is granted its keys only after the
// table that names it was written.
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
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

struct key_assignment {
  key_range range;
  endpoint_instance owner;
  // Rises each time that the range is assigned.
  epoch fence;

  friend bool operator==(const key_assignment&,
                         const key_assignment&) = default;
};

class key_table {
 public:
  key_table() = default;

  // Fails with errc::kInvalidArgument unless the assignments are in order of
  // their ranges, don't overlap, and have fences up to `highest_fence`.
  static result<key_table> Make(epoch highest_fence,
                                std::vector<key_assignment> assignments);

  // The table in which `owner` holds `range` with a fence above all others.
  // Former owners keep the rest of their ranges with the fences they had.
  key_table With(const key_range& range, const endpoint_instance& owner) const;

  // The assignment of `key`, or null if it has no owner.
  const key_assignment* Find(shard_key key) const;
  // Ranges without an owner.
  std::vector<key_range> Unassigned() const;

  const std::vector<key_assignment>& assignments() const {
    return assignments_;
  }
  const epoch& highest_fence() const { return highest_fence_; }

  // JSON, as it is kept in the store.
  std::string ToJson() const;
  static result<key_table> FromJson(std::string_view text);

  friend bool operator==(const key_table&, const key_table&) = default;

 private:
  epoch highest_fence_;
  std::vector<key_assignment> assignments_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_TABLE_H_
