// Sums of the loads of key ranges in logarithmic time, after one pass over the
// loads of all keys. Immutable.
//
//   key_load_index index(loads, idle_key_load);
//   double load = index.LoadOf(range);
//   std::optional<shard_key> last = index.LongestPrefix(range, max_load);

#ifndef BLUEBELL_KEYSPACE_KEY_LOAD_INDEX_H_
#define BLUEBELL_KEYSPACE_KEY_LOAD_INDEX_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bluebell/keyspace/key_range.h"
#include "bluebell/keyspace/shard_load.h"

namespace bluebell {

class key_load_index {
 public:
  // `loads` are in ascending order of the keys. Each key of the key space
  // counts `idle_key_load` slots in addition to its load.
  key_load_index(const std::vector<shard_load>& loads, double idle_key_load);

  double LoadOf(const key_range& range) const;
  // The last key of the longest part at the beginning of `range` with at most
  // `max_load`. No value if the first key exceeds it.
  std::optional<shard_key> LongestPrefix(const key_range& range,
                                         double max_load) const;
  // The first key of the longest part at the end of `range` with at most
  // `max_load`. No value if the last key exceeds it.
  std::optional<shard_key> LongestSuffix(const key_range& range,
                                         double max_load) const;

 private:
  // The load of all keys below `key`, which may be one above the last key.
  double LoadBelow(std::uint32_t key) const;

  double idle_key_load_;
  // The keys with a load, and the sum of the loads before each of them. There
  // is one sum more than keys.
  std::vector<shard_key> keys_;
  std::vector<double> sums_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_LOAD_INDEX_H_
