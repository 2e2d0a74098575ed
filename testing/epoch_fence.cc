#include "testing/epoch_fence.h"

#include <algorithm>
#include <iterator>

namespace bluebell {

void epoch_fence::SplitAt(key_hash at) {
  const auto step = std::prev(steps_.upper_bound(at));
  steps_.try_emplace(at, step->second);
}

void epoch_fence::Raise(const slice_range& range, epoch lowest) {
  SplitAt(range.first);
  if (range.last != kLastHash) {
    SplitAt(range.last + 1);
  }
  auto step = steps_.find(range.first);
  while (step != steps_.end() && step->first <= range.last) {
    step->second = std::max(step->second, lowest);
    // Neighbours of the same epoch become one step, which bounds the memory.
    if (step != steps_.begin() && std::prev(step)->second == step->second) {
      step = steps_.erase(step);
    } else {
      ++step;
    }
  }
  if (step != steps_.end() && std::prev(step)->second == step->second) {
    steps_.erase(step);
  }
}

epoch epoch_fence::LowestAllowed(const slice_range& range) const {
  epoch lowest;
  for (auto step = std::prev(steps_.upper_bound(range.first));
       step != steps_.end() && step->first <= range.last; ++step) {
    lowest = std::max(lowest, step->second);
  }
  return lowest;
}

}  // namespace bluebell
