#include "bluebell/fleet/fleet_snapshot.h"

namespace bluebell {

std::vector<fleet_endpoint> fleet_snapshot::EndpointsOf(
    const service_name& service) const {
  std::vector<fleet_endpoint> found;
  for (const auto& [id, endpoint] : endpoints) {
    if (endpoint.service == service) {
      found.push_back(endpoint);
    }
  }
  return found;
}

}  // namespace bluebell
