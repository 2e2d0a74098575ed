#include "bluebell/keyspace/key_range.h"

#include <algorithm>

namespace bluebell {

boost::container::static_vector<key_range, 2> key_range::Without(
    const key_range& removed) const {
  if (!Overlaps(removed)) {
    return {*this};
  }
  boost::container::static_vector<key_range, 2> rest;
  if (first < removed.first) {
    rest.push_back({first, static_cast<shard_key>(removed.first - 1)});
  }
  if (removed.last < last) {
    rest.push_back({static_cast<shard_key>(removed.last + 1), last});
  }
  return rest;
}

std::vector<key_range> key_range::Without(
    std::vector<key_range> removed) const {
  std::sort(removed.begin(), removed.end());
  std::vector<key_range> rest;
  // Wider than a key, because it passes the largest key when that is removed.
  std::uint32_t next = first;
  for (const key_range& removed_range : removed) {
    if (next < removed_range.first && next <= last) {
      const auto gap_end =
          std::min<std::uint32_t>(last, removed_range.first - 1U);
      rest.push_back(
          {static_cast<shard_key>(next), static_cast<shard_key>(gap_end)});
    }
    next = std::max(next, std::uint32_t{removed_range.last} + 1);
  }
  if (next <= last) {
    rest.push_back({static_cast<shard_key>(next), last});
  }
  return rest;
}

}  // namespace bluebell
