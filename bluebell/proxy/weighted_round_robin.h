// Divides the requests of each route among its services in proportion to their
// weights, by smooth weighted round robin: after any number of requests,
// each service is within one request of its share. Used on the traffic thread
// only.
//
//   weighted_round_robin picker;
//   const service_share& share = picker.Pick(route);

#ifndef BLUEBELL_PROXY_WEIGHTED_ROUND_ROBIN_H_
#define BLUEBELL_PROXY_WEIGHTED_ROUND_ROBIN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebell/fleet/service_route.h"

namespace bluebell {

class weighted_round_robin {
 public:
  // Returns the service for the next request of the route, a reference into
  // `route`. The route must have at least one service.
  const service_share& Pick(const service_route& route);

 private:
  // The weights for which the credits were counted, and for each service how
  // far it is behind its share.
  struct route_credits {
    std::vector<service_share> shares;
    std::vector<std::int64_t> credits;
  };

  std::map<std::string, route_credits> credits_by_route_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_WEIGHTED_ROUND_ROBIN_H_
