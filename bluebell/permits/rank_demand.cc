#include "bluebell/permits/rank_demand.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

// The time over which arrivals are averaged.
constexpr std::chrono::duration<double> kWindow{3};
// The number of busy slots varies by its square root when requests arrive
// independently.
constexpr double kDeviations = 1.0;

}  // namespace

void rank_demand::Add(std::uint32_t rank, duration work, instant now) {
  by_rank_[rank].Add(work, kWindow, now);
}

std::uint32_t rank_demand::Reserve(
    std::uint32_t rank,
    const std::map<std::uint32_t, std::uint32_t>& running,
    instant now) const {
  double reserve = 0;
  for (const auto& [higher, load] : by_rank_) {
    if (higher >= rank) {
      break;
    }
    const double slots = load.SlotsAt(kWindow, now);
    const auto busy = running.find(higher);
    const double used = busy == running.end() ? 0 : busy->second;
    reserve += std::max(0.0, slots + kDeviations * std::sqrt(slots) - used);
  }
  return static_cast<std::uint32_t>(std::lround(reserve));
}

}  // namespace bluebell
