// A contiguous, non-empty range of shard keys. A shard key is the 16-bit value
// that a request carries to say which part of a keyed service's data it needs.
//
//   for (const key_range& rest : range.Without(moving)) ...

#ifndef BLUEBELL_KEYSPACE_KEY_RANGE_H_
#define BLUEBELL_KEYSPACE_KEY_RANGE_H_

#include <compare>
#include <cstdint>
#include <vector>

#include <boost/container/static_vector.hpp>

namespace bluebell {

using shard_key = std::uint16_t;

inline constexpr shard_key kLastShardKey = 65'535;

struct key_range {
  // Both are inclusive.
  shard_key first = 0;
  shard_key last = kLastShardKey;

  bool Contains(shard_key key) const { return first <= key && key <= last; }
  bool Contains(const key_range& other) const {
    return first <= other.first && other.last <= last;
  }
  bool Overlaps(const key_range& other) const {
    return first <= other.last && other.first <= last;
  }
  // The subranges of this range that lie outside `removed`, in ascending order.
  boost::container::static_vector<key_range, 2> Without(
      const key_range& removed) const;
  // The same for several ranges, which may overlap and be in any order.
  std::vector<key_range> Without(std::vector<key_range> removed) const;

  // The number of keys.
  std::uint32_t size() const { return std::uint32_t{last} - first + 1U; }

  friend bool operator==(const key_range&, const key_range&) = default;
  friend auto operator<=>(const key_range&, const key_range&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_RANGE_H_
