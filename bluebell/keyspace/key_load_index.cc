#include "bluebell/keyspace/key_load_index.h"

#include <algorithm>
#include <cstddef>

namespace bluebell {

key_load_index::key_load_index(const std::vector<shard_load>& loads,
                               double idle_key_load)
    : idle_key_load_(idle_key_load) {
  keys_.reserve(loads.size());
  sums_.reserve(loads.size() + 1);
  sums_.push_back(0);
  for (const shard_load& load : loads) {
    keys_.push_back(load.key);
    sums_.push_back(sums_.back() + load.slots);
  }
}

double key_load_index::LoadBelow(std::uint32_t key) const {
  const auto first_not_below =
      std::lower_bound(keys_.begin(), keys_.end(), key);
  const auto count = static_cast<std::size_t>(first_not_below - keys_.begin());
  return sums_[count] + key * idle_key_load_;
}

double key_load_index::LoadOf(const key_range& range) const {
  return LoadBelow(std::uint32_t{range.last} + 1) - LoadBelow(range.first);
}

std::optional<shard_key> key_load_index::LongestPrefix(const key_range& range,
                                                       double max_load) const {
  const double limit = LoadBelow(range.first) + max_load;
  // The part below `fits` has at most `max_load`; the one below `exceeds`
  // doesn't.
  std::uint32_t fits = range.first;
  std::uint32_t exceeds = std::uint32_t{range.last} + 2;
  while (fits + 1 < exceeds) {
    const std::uint32_t middle = fits + (exceeds - fits) / 2;
    if (LoadBelow(middle) <= limit) {
      fits = middle;
    } else {
      exceeds = middle;
    }
  }
  return fits == range.first ? std::nullopt
                             : std::optional(static_cast<shard_key>(fits - 1));
}

std::optional<shard_key> key_load_index::LongestSuffix(const key_range& range,
                                                       double max_load) const {
  const std::uint32_t end = std::uint32_t{range.last} + 1;
  const double limit = LoadBelow(end) - max_load;
  // The part from `fits` on has at most `max_load`.
  std::uint32_t fits = end;
  std::uint32_t low = range.first;
  while (low < fits) {
    const std::uint32_t middle = low + (fits - low) / 2;
    if (LoadBelow(middle) >= limit) {
      fits = middle;
    } else {
      low = middle + 1;
    }
  }
  return fits == end ? std::nullopt
                     : std::optional(static_cast<shard_key>(fits));
}

}  // namespace bluebell
