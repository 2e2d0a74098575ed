#include "bluebell/permits/rank_demand.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

// The time constant of the averages.
constexpr std::chrono::duration<double> kAveragingTime{3};
// The reserve includes this many standard deviations of the number of busy
// slots. The deviation is the square root of the mean when requests arrive
// independently.
constexpr double kReservedDeviations = 1.0;

}  // namespace

void rank_demand::Add(std::uint32_t rank, duration work, instant now) {
  load_by_rank_[rank].Add(work, kAveragingTime, now);
}

std::uint32_t rank_demand::ReservedSlots(
    std::uint32_t rank,
    const std::map<std::uint32_t, std::uint32_t>& running,
    instant now) const {
  double reserved = 0;
  for (const auto& [higher_rank, load] : load_by_rank_) {
    if (higher_rank >= rank) {
      break;
    }
    const double busy_slots = load.SlotsAt(kAveragingTime, now);
    const auto running_entry = running.find(higher_rank);
    const double running_count =
        running_entry == running.end() ? 0 : running_entry->second;
    reserved +=
        std::max(0.0, busy_slots + kReservedDeviations * std::sqrt(busy_slots) -
                          running_count);
  }
  return static_cast<std::uint32_t>(std::lround(reserved));
}

}  // namespace bluebell
