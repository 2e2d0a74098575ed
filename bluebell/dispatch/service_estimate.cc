#include "bluebell/dispatch/service_estimate.h"

#include <algorithm>

namespace bluebell {

namespace {

// Long enough that the mean of exponential service times is within about 13%,
// short enough to follow a change within a second at a few hundred requests.
constexpr std::int64_t kWindow = 32;

}  // namespace

void service_estimate::moving_mean::Add(duration sample) {
  samples = std::min(samples + 1, kWindow);
  value += (sample - value) / samples;
}

void service_estimate::Observe(rank priority, duration service_time) {
  by_rank_[RankIndex(priority)].Add(service_time);
  overall_.Add(service_time);
}

duration service_estimate::For(rank priority) const {
  const moving_mean& own = by_rank_[RankIndex(priority)];
  return own.samples > 0 ? own.value : overall_.value;
}

}  // namespace bluebell
