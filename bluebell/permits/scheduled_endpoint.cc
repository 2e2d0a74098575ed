#include "bluebell/permits/scheduled_endpoint.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

// While an endpoint starts it is this much slower.
constexpr double kColdSlowness = 2;
constexpr double kLeastSlowness = 0.1;
// How long an endpoint's report of load from elsewhere counts.
constexpr milliseconds kForeignLoadTime{300};

}  // namespace

scheduled_endpoint::scheduled_endpoint(fleet_endpoint entry, instant now)
    : entry_(std::move(entry)), warm_from_(now + entry_.warm_up) {
  Refresh(now);
}

void scheduled_endpoint::OnAnswered(duration took,
                                    duration expected,
                                    instant now) {
  standing_.OnAnswered(took, expected, now);
  Refresh(now);
}

void scheduled_endpoint::OnFailed(instant now) {
  standing_.OnFailed(now);
  Refresh(now);
}

void scheduled_endpoint::OnSilent(std::uint64_t holder, instant now) {
  standing_.OnSilent(holder, now);
  Refresh(now);
}

std::optional<instant> scheduled_endpoint::OnLoadReport(
    const endpoint_load& load,
    instant now) {
  // The report still counts the request that it came with. Since no more are
  // sent than there are slots, only others' requests make some wait.
  const std::uint32_t reported = load.running + load.waiting;
  const std::uint32_t ours = running_ + 1;
  const bool others = load.waiting > 0 && reported > ours;
  foreign_ = others ? reported - ours : 0;
  foreign_until_ = now + kForeignLoadTime;
  return others ? std::optional(foreign_until_) : std::nullopt;
}

void scheduled_endpoint::Refresh(instant now) {
  slowness_ = std::max(kLeastSlowness, standing_.SlownessAt(now));
  if (now < warm_from_) {
    slowness_ *= kColdSlowness;
  }
  success_ = standing_.SuccessAt(now);
}

bool scheduled_endpoint::IsInService(instant now) const {
  return !entry_.draining && !standing_.IsSuspended(now);
}

bool scheduled_endpoint::IsFree(instant now) const {
  if (!IsInService(now)) {
    return false;
  }
  const std::uint32_t limit = standing_.IsOnProbation() ? 1 : entry_.slots;
  const std::uint32_t foreign = now < foreign_until_ ? foreign_ : 0;
  return running_ + foreign < limit;
}

std::uint32_t scheduled_endpoint::FreeSlots(instant now) const {
  return IsFree(now) ? entry_.slots - std::min(entry_.slots, running_) : 0;
}

}  // namespace bluebell
