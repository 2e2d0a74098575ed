// How a dispatcher compares the endpoints of the requester's failure domain
// with those of other domains.

#ifndef BLUEBELL_PERMITS_DOMAIN_POLICY_H_
#define BLUEBELL_PERMITS_DOMAIN_POLICY_H_

#include <cstdint>
#include <variant>

namespace bluebell {

// A request to an endpoint in another failure domain costs a fixed multiple.
struct fixed_domain_cost {
  friend bool operator==(const fixed_domain_cost&,
                         const fixed_domain_cost&) = default;
};

// A request is sent to another failure domain if the time that it is expected
// to gain is worth the price of its bytes; see cross_domain_forecast.
struct forecast_domain_cost {
  // What a megabyte that crosses domains is worth, in milliseconds of a
  // caller's waiting time.
  std::uint32_t price_ms_per_mb = 0;

  friend bool operator==(const forecast_domain_cost&,
                         const forecast_domain_cost&) = default;
};

using domain_policy = std::variant<fixed_domain_cost, forecast_domain_cost>;

// The policy for a service. Only large bodies make traffic between domains
// expensive, and the owner of a key is the only endpoint for it.
inline domain_policy DomainPolicyFor(bool fleet_takes_uploads,
                                     bool keyed_service,
                                     std::uint32_t price_ms_per_mb) {
  if (fleet_takes_uploads && !keyed_service) {
    return forecast_domain_cost{price_ms_per_mb};
  }
  return fixed_domain_cost();
}

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_DOMAIN_POLICY_H_
