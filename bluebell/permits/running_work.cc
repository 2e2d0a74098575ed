#include "bluebell/permits/running_work.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace bluebell {

namespace {

// A request that has taken longer than the mean isn't about to end: the times
// of work are widely spread. It counts as having this part of the mean left.
constexpr int kMinRemainingDivisor = 3;

}  // namespace

void running_work::Start(instant started, duration length) {
  running_.emplace(started, length);
}

void running_work::End(instant started, duration length) {
  const auto found = running_.find({started, length});
  if (found != running_.end()) {
    running_.erase(found);
  }
}

duration running_work::WaitAfter(duration work,
                                 std::uint32_t slots,
                                 instant now) const {
  if (slots == 0) {
    return duration(0);
  }
  // The time until each slot is free, in ascending order.
  std::vector<duration> free_in;
  free_in.reserve(std::max<std::size_t>(slots, running_.size()));
  for (const auto& [started, length] : running_) {
    free_in.push_back(
        std::max(started + length - now, length / kMinRemainingDivisor));
  }
  if (free_in.size() < slots) {
    free_in.resize(slots, duration(0));
  }
  std::sort(free_in.begin(), free_in.end());
  // More requests than slots run if another dispatcher issued permits as well.
  free_in.erase(free_in.begin(), free_in.end() - slots);
  // The work in line fills the slots evenly, the one that is free first before
  // the others.
  duration level = free_in.front();
  for (std::size_t i = 0; i < free_in.size(); ++i) {
    const auto filled = static_cast<std::int64_t>(i + 1);
    const bool is_last = i + 1 == free_in.size();
    const duration step = is_last ? work / filled : free_in[i + 1] - level;
    if (is_last || step * filled >= work) {
      return level + work / filled;
    }
    work -= step * filled;
    level += step;
  }
  return level;
}

}  // namespace bluebell
