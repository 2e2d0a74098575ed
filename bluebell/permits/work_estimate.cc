#include "bluebell/permits/work_estimate.h"

#include <algorithm>

namespace bluebell {

namespace {

// The weight of a new measurement.
constexpr double kGain = 0.04;
// Operators set objectives at about three times the mean.
constexpr double kShareOfObjective = 0.33;
// Single long requests must not carry the mean away.
constexpr double kMaxStep = 6;

}  // namespace

void work_estimate::Add(const std::string& route,
                        duration took,
                        double slowness) {
  const double sample = static_cast<double>(took.count()) / slowness;
  const auto [entry, first] = mean_ns_.try_emplace(route, sample);
  if (!first) {
    const double bounded = std::min(sample, entry->second * kMaxStep);
    entry->second += (bounded - entry->second) * kGain;
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
      kShareOfObjective));
}

}  // namespace bluebell
