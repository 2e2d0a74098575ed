#include "bluebell/dispatch/service_estimate.h"

#include <algorithm>

namespace bluebell {

namespace {

// The number of samples of the moving mean. With 32 samples the mean of
// exponentially distributed service times is within about 13%, and the mean
// follows a change within a second at a few hundred requests a second.
constexpr std::int64_t kMeanSamples = 32;

}  // namespace

void service_estimate::moving_mean::Add(duration sample) {
  samples = std::min(samples + 1, kMeanSamples);
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
