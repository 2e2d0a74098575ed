#include "bluebell/dispatcher/order_permission.h"

#include <string>

namespace bluebell {

namespace {

not_run Refuse(not_run_reason reason, std::string detail) {
  return {reason, std::move(detail), milliseconds(0)};
}

order_permission PermitBySlice(const service_routes& routes,
                               const endpoint_entry& endpoint,
                               key_hash hash,
                               instant now) {
  const slice_route* slice = routes.FindSlice(hash);
  if (slice == nullptr || slice->in_planned_move ||
      slice->owner != endpoint.instance) {
    return Refuse(not_run_reason::kNoOwner,
                  "the endpoint doesn't own the key any more");
  }
  if (!routes.spec.checks_epoch && now >= slice->may_write_until) {
    return Refuse(not_run_reason::kNoOwner,
                  "the permission to write to the owner has expired");
  }
  return order_target{.endpoint = endpoint,
                      .range = slice->range,
                      .at = slice->at,
                      .may_write_until = slice->may_write_until};
}

}  // namespace

order_permission CheckOrderPermission(const routing_snapshot& snapshot,
                                      const endpoint_instance& instance,
                                      const caller_request& request,
                                      std::optional<key_hash> hash,
                                      instant now) {
  if (now >= request.deadline) {
    return Refuse(not_run_reason::kDeadlineExpired,
                  "the deadline passed before the order was written");
  }
  const auto found = snapshot.services.find(request.service);
  if (found == snapshot.services.end()) {
    return Refuse(not_run_reason::kUnknownService,
                  "no service of this name is set up");
  }
  const service_routes& routes = found->second;
  const endpoint_entry* endpoint = routes.FindEndpoint(instance);
  if (endpoint == nullptr || endpoint->condition == endpoint_condition::kLost) {
    return Refuse(not_run_reason::kEndpointUnreachable,
                  "the endpoint instance is lost");
  }
  if (!hash && !routes.spec.keyed) {
    if (endpoint->condition != endpoint_condition::kServing ||
        endpoint->values.drain) {
      return Refuse(not_run_reason::kEndpointUnreachable,
                    "the endpoint takes no new work");
    }
    return order_target{.endpoint = *endpoint,
                        .range = std::nullopt,
                        .at = epoch(),
                        .may_write_until = instant::max()};
  }
  if (!hash) {
    return Refuse(not_run_reason::kInvalidRequest, "the service needs a key");
  }
  return PermitBySlice(routes, *endpoint, *hash, now);
}

}  // namespace bluebell
