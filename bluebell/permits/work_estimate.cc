#include "bluebell/permits/work_estimate.h"

#include <algorithm>

namespace bluebell {

namespace {

// The weight of a new measurement in the moving average.
constexpr double kSampleWeight = 0.04;
// The assumed ratio of the mean to the objective. Operators set objectives at
// about three times the mean.
constexpr double kDefaultObjectiveShare = 0.33;
// A measurement counts as at most this multiple of the mean, so that a single
// long request doesn't distort the mean.
constexpr double kMaxSampleRatio = 6;

}  // namespace

void work_estimate::Add(const std::string& route,
                        duration response_time,
                        double slowness) {
  const double sample = static_cast<double>(response_time.count()) / slowness;
  const auto [entry, is_first] = mean_ns_.try_emplace(route, sample);
  if (!is_first) {
    const double bounded = std::min(sample, entry->second * kMaxSampleRatio);
    entry->second += (bounded - entry->second) * kSampleWeight;
  }
}

duration work_estimate::Expected(const std::string& route,
                                 duration objective) const {
  const auto known = mean_ns_.find(route);
  if (known != mean_ns_.end()) {
    return duration(static_cast<std::int64_t>(known->second));
  }
  return duration(static_cast<std::int64_t>(
      static_cast<double>(std::max(objective, duration(0)).count()) *
      kDefaultObjectiveShare));
}

}  // namespace bluebell
