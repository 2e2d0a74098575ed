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
    : entry_(std::move(entry)), warm_up_end_(now + entry_.warm_up_remaining) {
  Refresh(now);
}

void scheduled_endpoint::OnAnswered(duration response_time,
                                    duration expected,
                                    instant now) {
  performance_.OnAnswered(response_time, expected, now);
  Refresh(now);
}

void scheduled_endpoint::OnFailed(instant now) {
  performance_.OnFailed(now);
  Refresh(now);
}

void scheduled_endpoint::OnNoResponse(std::uint64_t holder, instant now) {
  performance_.OnNoResponse(holder, now);
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
  external_requests_ = has_external ? reported - own_requests : 0;
  external_until_ = now + kExternalLoadLifetime;
  return has_external ? std::optional(external_until_) : std::nullopt;
}

void scheduled_endpoint::Refresh(instant now) {
  slowness_ = std::max(kMinSlowness, performance_.SlownessAt(now));
  if (now < warm_up_end_) {
    slowness_ *= kWarmUpSlownessFactor;
  }
  success_ratio_ = performance_.SuccessRatioAt(now);
}

bool scheduled_endpoint::IsInService(instant now) const {
  return entry_.TakesRequests() && !performance_.IsSuspended(now);
}

bool scheduled_endpoint::HasFreeSlot(instant now) const {
  if (!IsInService(now)) {
    return false;
  }
  const std::uint32_t limit = performance_.IsOnProbation() ? 1 : entry_.slots;
  const std::uint32_t external = now < external_until_ ? external_requests_ : 0;
  return running_ + external < limit;
}

std::uint32_t scheduled_endpoint::FreeSlots(instant now) const {
  return HasFreeSlot(now) ? entry_.slots - std::min(entry_.slots, running_) : 0;
}

}  // namespace bluebell
