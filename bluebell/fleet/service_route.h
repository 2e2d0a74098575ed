// One route of the operators' configuration: which requests it takes, the
// services that serve them and the limits that hold.

#ifndef BLUEBELL_FLEET_SERVICE_ROUTE_H_
#define BLUEBELL_FLEET_SERVICE_ROUTE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct service_share {
  service_name service;
  std::uint32_t weight = 1;

  friend bool operator==(const service_share&, const service_share&) = default;
};

struct service_route {
  std::string name;
  std::string host;
  // Begins and ends with a slash.
  std::string prefix;
  bool idempotent = false;
  // The longest time from a request's arrival to its final response.
  milliseconds timeout{0};
  // A response within this time is worth most to the caller.
  milliseconds objective{0};
  // 0 is the most urgent.
  std::uint32_t rank = 0;
  // How many endpoints one request may be sent to.
  std::uint32_t max_attempts = 1;
  // Requests are divided among these in proportion to the weights.
  std::vector<service_share> shares;

  friend bool operator==(const service_route&, const service_route&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_SERVICE_ROUTE_H_
