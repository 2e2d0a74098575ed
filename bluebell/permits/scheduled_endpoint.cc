#include "bluebell/permits/scheduled_endpoint.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

// The extra slowness of an endpoint that is warming up.
constexpr double kWarmUpSlownessFactor = 2;
constexpr double kMinSlowness = 0.1;
// The ratio by which the long-term slowness has to differ from the assigned one
// to replace it.
constexpr double kAssignedSlownessStep = 1.2;
// How long requests count that a load report shows and that the scheduler
// issued no permit for.
constexpr milliseconds kExternalLoadLifetime{300};
// How long a reported slowdown counts. It changes several times a second, and
// an endpoint that gets fewer requests for it reports again only then.
constexpr milliseconds kSlowdownLifetime{300};
constexpr double kPercent = 100;
// A report beyond this is taken for this, so that one wrong number doesn't make
// the wait for the endpoint look endless.
constexpr double kMaxSlowdown = 20;

}  // namespace

scheduled_endpoint::scheduled_endpoint(fleet_endpoint entry, instant now)
    : entry_(std::move(entry)), warm_up_end_(now + entry_.warm_up_remaining) {
  Refresh(now);
}

void scheduled_endpoint::OnAnswered(duration response_time,
                                    duration expected,
                                    instant now) {
  performance_.OnAnswered(response_time, expected, now);
  const double long_term =
      std::max(kMinSlowness, performance_.long_term_slowness());
  if (std::max(long_term / assigned_slowness_, assigned_slowness_ / long_term) >
      kAssignedSlownessStep) {
    assigned_slowness_ = long_term;
  }
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
  slowdown_ = std::clamp(load.slowdown_percent / kPercent, 1.0, kMaxSlowdown);
  slowdown_until_ = now + kSlowdownLifetime;
  return has_external || slowdown_ > 1
             ? std::optional(std::max(external_until_, slowdown_until_))
             : std::nullopt;
}

double scheduled_endpoint::current_slowness(instant now) const {
  if (now >= slowdown_until_ || slowdown_ <= 1) {
    return slowness_;
  }
  // The measured slowness may include the slowdown already, the long-term one
  // hardly does.
  return std::max(slowness_, performance_.long_term_slowness() * slowdown_);
}

double scheduled_endpoint::current_capacity(instant now) const {
  return LimitedCapacity(entry_.slots / current_slowness(now));
}

double scheduled_endpoint::LimitedCapacity(double capacity) const {
  return std::min(capacity, capacity_limit_.value_or(capacity));
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
