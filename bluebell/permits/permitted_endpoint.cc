#include "bluebell/permits/permitted_endpoint.h"

namespace bluebell {

std::optional<fleet_endpoint> PermittedEndpoint(const fleet_snapshot& view,
                                                const permit_granted& granted) {
  const bool is_later =
      granted.endpoints_revision > view.endpoints_revision.value();
  const auto entry = view.endpoints.find(granted.endpoint.endpoint);
  if (entry == view.endpoints.end()) {
    if (granted.lapsing || !is_later) {
      // The endpoint is gone, and the dispatcher doesn't know that yet.
      return std::nullopt;
    }
    // The dispatcher learned of the endpoint before this daemon did.
    fleet_endpoint endpoint;
    endpoint.instance = granted.endpoint;
    endpoint.service = granted.service;
    endpoint.where = granted.where;
    return endpoint;
  }
  if (!entry->second.TakesRequests()) {
    return std::nullopt;
  }
  if (entry->second.instance != granted.endpoint && !is_later) {
    // The process has left, and a later one has started under its id.
    return std::nullopt;
  }
  fleet_endpoint endpoint = entry->second;
  endpoint.instance = granted.endpoint;
  endpoint.where = granted.where;
  return endpoint;
}

}  // namespace bluebell
