#include "bluebell/routing/route.h"

#include <array>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "bluebell/core/key_hash.h"
#include "bluebell/routing/ownership_hash.h"

namespace bluebell {

namespace {

// The suggested delay before a retry when no owner or endpoint is available:
// about the time that it takes to replace a lost endpoint.
constexpr milliseconds kRetryAfterLoss{500};

route_decision Reject(not_run_reason reason,
                      std::string detail,
                      milliseconds retry_after = milliseconds(0)) {
  return reject_request{not_run{reason, std::move(detail), retry_after}};
}

route_decision SendTo(const routing_snapshot& snapshot, order_target target) {
  if (target.endpoint.dispatcher == snapshot.self) {
    return dispatch_here{std::move(target)};
  }
  return forward_to{std::move(target)};
}

// A draining owner still gets requests: no other endpoint may serve its keys
// until their slices have moved, which takes a drain a few seconds.
route_decision RouteByOwner(const routing_snapshot& snapshot,
                            const service_routes& routes,
                            key_hash hash,
                            instant now) {
  const slice_route* slice = routes.FindSlice(hash);
  if (slice == nullptr) {
    return Reject(not_run_reason::kNoOwner, "no slice holds the key",
                  kRetryAfterLoss);
  }
  if (slice->in_planned_move) {
    return wait_for_owner{slice->range};
  }
  if (!slice->owner) {
    return Reject(not_run_reason::kNoOwner, "the key has no owner now",
                  kRetryAfterLoss);
  }
  const endpoint_entry* endpoint = routes.FindEndpoint(*slice->owner);
  if (endpoint == nullptr || endpoint->condition == endpoint_condition::kLost) {
    return Reject(not_run_reason::kEndpointUnreachable,
                  "the owner of the key is lost", kRetryAfterLoss);
  }
  if (!routes.spec.checks_epoch && slice->may_write_until <= now) {
    return Reject(not_run_reason::kNoOwner,
                  "the permission to write to the owner has expired",
                  kRetryAfterLoss);
  }
  return SendTo(snapshot,
                order_target{.endpoint = *endpoint,
                             .range = slice->range,
                             .at = slice->at,
                             .may_write_until = slice->may_write_until});
}

bool TakesNewWork(const endpoint_entry& endpoint) {
  return endpoint.condition == endpoint_condition::kServing &&
         !endpoint.values.drain;
}

std::vector<const endpoint_entry*> Candidates(const service_routes& routes,
                                              const domain_name& domain,
                                              bool own_domain) {
  std::vector<const endpoint_entry*> candidates;
  for (const endpoint_entry& endpoint : routes.endpoints) {
    if (TakesNewWork(endpoint) && (endpoint.domain == domain) == own_domain) {
      candidates.push_back(&endpoint);
    }
  }
  return candidates;
}

// Returns the one with the shorter wait of two random candidates, or null if
// there are none. If all candidates were compared, every entry daemon would
// choose the same endpoint until its view of that endpoint's queue is updated.
const endpoint_entry* PickOfTwo(
    const std::vector<const endpoint_entry*>& candidates,
    rank priority,
    const expected_wait& wait,
    std::uint64_t random) {
  if (candidates.empty()) {
    return nullptr;
  }
  const std::uint64_t count = candidates.size();
  const endpoint_entry* first = candidates[random % count];
  if (count == 1) {
    return first;
  }
  const std::uint64_t offset = 1 + (random / count) % (count - 1);
  const endpoint_entry* second = candidates[(random + offset) % count];
  const bool second_is_better =
      wait(second->instance, priority) < wait(first->instance, priority);
  return second_is_better ? second : first;
}

route_decision RouteByLoad(const routing_snapshot& snapshot,
                           const service_routes& routes,
                           rank priority,
                           const expected_wait& wait,
                           std::uint64_t random) {
  const endpoint_entry* same_domain = PickOfTwo(
      Candidates(routes, snapshot.domain, true), priority, wait, random);
  const bool same_domain_is_free =
      same_domain != nullptr &&
      wait(same_domain->instance, priority) <= kCrossDomainWaitThreshold;
  const endpoint_entry* chosen = same_domain;
  if (!same_domain_is_free) {
    const endpoint_entry* other_domain = PickOfTwo(
        Candidates(routes, snapshot.domain, false), priority, wait, random);
    const bool other_domain_is_better =
        other_domain != nullptr &&
        (same_domain == nullptr ||
         wait(other_domain->instance, priority) + kCrossDomainWaitThreshold <
             wait(same_domain->instance, priority));
    chosen = other_domain_is_better ? other_domain : same_domain;
  }
  if (chosen == nullptr) {
    return Reject(not_run_reason::kNoEndpoint,
                  "no endpoint of the service takes new work", kRetryAfterLoss);
  }
  return SendTo(snapshot, order_target{.endpoint = *chosen,
                                       .range = std::nullopt,
                                       .at = epoch(),
                                       .may_write_until = instant::max()});
}

}  // namespace

route_decision Route(const routing_snapshot& snapshot,
                     const caller_request& request,
                     const expected_wait& wait,
                     std::uint64_t random,
                     instant now) {
  if (request.deadline <= now) {
    return Reject(not_run_reason::kDeadlineExpired,
                  "the deadline passed before routing");
  }
  const auto found = snapshot.services.find(request.service);
  if (found == snapshot.services.end()) {
    return Reject(not_run_reason::kUnknownService,
                  "no service of this name is set up");
  }
  const service_routes& routes = found->second;
  if (const auto hash = OwnershipHash(routes.spec, request)) {
    return RouteByOwner(snapshot, routes, *hash, now);
  }
  if (routes.spec.keyed) {
    return Reject(not_run_reason::kInvalidRequest, "the service needs a key");
  }
  return RouteByLoad(snapshot, routes, request.priority, wait, random);
}

}  // namespace bluebell
