// One route of the operators' configuration: which requests match it, the
// services that serve them and the limits that apply.

#ifndef BLUEBELL_FLEET_SERVICE_ROUTE_H_
#define BLUEBELL_FLEET_SERVICE_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/request_kind.h"

namespace bluebell {

// A service with its weight among the services of a route.
struct service_share {
  service_name service;
  std::uint32_t weight = 1;

  friend bool operator==(const service_share&, const service_share&) = default;
};

struct service_route {
  std::string name;
  // Host name of the request, in any letter case; a port is ignored.
  std::string host;
  // Prefix of the path. Begins and ends with a slash.
  std::string prefix;
  request_kind kind = request_kind::kNonIdempotent;
  // Time limit from a request's arrival to its final response.
  milliseconds timeout{0};
  // Target for the time from a request's arrival to its response. A response
  // within this time is worth most to the caller.
  milliseconds target_latency{0};
  // Priority class; 0 is the most urgent.
  std::uint32_t rank = 0;
  // The largest number of endpoints that one request is sent to.
  std::uint32_t max_attempts = 1;
  // Requests are divided among these services in proportion to the weights.
  std::vector<service_share> shares;

  friend bool operator==(const service_route&, const service_route&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_SERVICE_ROUTE_H_
