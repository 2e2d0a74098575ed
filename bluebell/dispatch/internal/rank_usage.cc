#include "bluebell/dispatch/internal/rank_usage.h"

#include <chrono>
#include <cmath>

namespace bluebell {

namespace {

// Longer than service times and shorter than changes of the load.
constexpr std::chrono::duration<double, std::nano> kTimeConstant = seconds(1);

}  // namespace

void rank_usage::Add(rank value, duration slot_time, instant now) {
  const double decay_factor = DecayFactor(now);
  for (double& sum : sums_) {
    sum *= decay_factor;
  }
  updated_at_ = now;
  sums_[RankIndex(value)] += static_cast<double>(slot_time.count());
}

double rank_usage::Of(rank value, instant now) const {
  return sums_[RankIndex(value)] * DecayFactor(now) / kTimeConstant.count();
}

double rank_usage::DecayFactor(instant now) const {
  return std::exp(-((now - updated_at_) / kTimeConstant));
}

}  // namespace bluebell
