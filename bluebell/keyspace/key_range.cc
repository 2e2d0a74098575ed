#include "bluebell/keyspace/key_range.h"

#include <algorithm>

namespace bluebell {

boost::container::static_vector<key_range, 2> key_range::Without(
    const key_range& taken) const {
  if (!Overlaps(taken)) {
    return {*this};
  }
  boost::container::static_vector<key_range, 2> rest;
  if (first < taken.first) {
    rest.push_back({first, static_cast<shard_key>(taken.first - 1)});
  }
  if (taken.last < last) {
    rest.push_back({static_cast<shard_key>(taken.last + 1), last});
  }
  return rest;
}

std::vector<key_range> key_range::Without(std::vector<key_range> taken) const {
  std::sort(taken.begin(), taken.end());
  std::vector<key_range> rest;
  // One more than a key can be, once the last key is taken.
  std::uint32_t next = first;
  for (const key_range& each : taken) {
    if (next < each.first && next <= last) {
      const auto gap_end = std::min<std::uint32_t>(last, each.first - 1U);
      rest.push_back(
          {static_cast<shard_key>(next), static_cast<shard_key>(gap_end)});
    }
    next = std::max(next, std::uint32_t{each.last} + 1);
  }
  if (next <= last) {
    rest.push_back({static_cast<shard_key>(next), last});
  }
  return rest;
}

}  // namespace bluebell
