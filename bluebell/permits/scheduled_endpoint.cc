#include "bluebell/permits/scheduled_endpoint.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

// The extra slowness of an endpoint that is warming up.
constexpr double kWarmUpSlownessFactor = 2;
constexpr double kMinSlowness = 0.1;
// How long requests count that a load report shows and that the scheduler
// issued no permit for.
constexpr milliseconds kExternalLoadLifetime{300};

}  // namespace

scheduled_endpoint::scheduled_endpoint(fleet_endpoint entry, instant now)
    : entry_(std::move(entry)), warm_from_(now + entry_.warm_up_remaining) {
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
  // The report still counts the request whose response carries it. Requests
  // wait at the endpoint only if other senders use it too, because the
  // scheduler sends no more requests than there are slots.
  const std::uint32_t reported = load.running + load.waiting;
  const std::uint32_t own_requests = running_ + 1;
  const bool has_external = load.waiting > 0 && reported > own_requests;
  foreign_ = has_external ? reported - own_requests : 0;
  foreign_until_ = now + kExternalLoadLifetime;
  return has_external ? std::optional(foreign_until_) : std::nullopt;
}

void scheduled_endpoint::Refresh(instant now) {
  slowness_ = std::max(kMinSlowness, standing_.SlownessAt(now));
  if (now < warm_from_) {
    slowness_ *= kWarmUpSlownessFactor;
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
  const std::uint32_t external = now < foreign_until_ ? foreign_ : 0;
  return running_ + external < limit;
}

std::uint32_t scheduled_endpoint::FreeSlots(instant now) const {
  return IsFree(now) ? entry_.slots - std::min(entry_.slots, running_) : 0;
}

}  // namespace bluebell
