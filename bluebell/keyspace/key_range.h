// A contiguous range of shard keys.

#ifndef BLUEBELL_KEYSPACE_KEY_RANGE_H_
#define BLUEBELL_KEYSPACE_KEY_RANGE_H_

#include <compare>
#include <cstdint>

namespace bluebell {

using shard_key = std::uint16_t;

inline constexpr shard_key kLastShardKey = 65'535;

struct key_range {
  // Both inclusive.
  shard_key first = 0;
  shard_key last = kLastShardKey;

  bool Contains(shard_key key) const { return first <= key && key <= last; }
  std::uint32_t size() const { return std::uint32_t{last} - first + 1U; }

  friend bool operator==(const key_range&, const key_range&) = default;
  friend auto operator<=>(const key_range&, const key_range&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_RANGE_H_
