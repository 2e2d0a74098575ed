#include "bluebell/permits/cold_start_bound.h"

#include <cmath>

namespace bluebell {

namespace {

// Two daemons may consider themselves first while one hands over to the other;
// see cold_start_limit.h.
constexpr double kDispatchersAtATime = 2;

}  // namespace

std::optional<cold_start_bound> cold_start_bound::For(
    const fleet_service& service,
    const warmup_allowance& allowance) {
  const bool is_limited = allowance.overage || allowance.slack;
  if (!is_limited || service.warm_up_per_s <= 0) {
    return std::nullopt;
  }
  return cold_start_bound{
      service.warm_up_per_s,
      service.warm_up_per_s * allowance.overage.value_or(1) +
          allowance.slack.value_or(0)};
}

std::size_t cold_start_bound::PermitsPerWindow() const {
  return static_cast<std::size_t>(
      std::floor(max_in_second / kDispatchersAtATime));
}

}  // namespace bluebell
