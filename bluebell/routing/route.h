// Picks the endpoint that serves a request, and the daemon that sends it there.
//
//   route_decision decision = Route(snapshot, request, wait, random, now);

#ifndef BLUEBELL_ROUTING_ROUTE_H_
#define BLUEBELL_ROUTING_ROUTE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>

#include "bluebell/core/caller_request.h"
#include "bluebell/core/request_outcome.h"
#include "bluebell/core/time.h"
#include "bluebell/placement/slice_range.h"
#include "bluebell/routing/endpoint_entry.h"
#include "bluebell/routing/routing_snapshot.h"

namespace bluebell {

// Where a request goes and under which ownership.
struct order_target {
  endpoint_entry endpoint;
  // Present for services divided by key.
  std::optional<slice_range> range;
  epoch at;
  instant may_write_until;

  friend bool operator==(const order_target&, const order_target&) = default;
};

// This daemon is the endpoint's dispatcher.
struct dispatch_here {
  order_target target;

  friend bool operator==(const dispatch_here&, const dispatch_here&) = default;
};

// Another daemon is the endpoint's dispatcher.
struct forward_to {
  order_target target;

  friend bool operator==(const forward_to&, const forward_to&) = default;
};

// The slice is on its way to a new owner: try again shortly.
struct wait_for_owner {
  slice_range range;

  friend bool operator==(const wait_for_owner&,
                         const wait_for_owner&) = default;
};

// The request can't be served now.
struct reject_request {
  not_run why;

  friend bool operator==(const reject_request&,
                         const reject_request&) = default;
};

using route_decision =
    std::variant<dispatch_here, forward_to, wait_for_owner, reject_request>;

// The expected wait at an endpoint as far as the entry daemon knows; decides
// between the endpoints of a service without owned keys.
using expected_wait =
    std::function<duration(const endpoint_instance& instance, rank priority)>;

// Beyond this wait in the own failure domain, a request goes to another domain
// if the wait there is shorter by more than this. Larger than the way between
// domains (1.5 ms) and smaller than what a caller notices.
inline constexpr milliseconds kLongWait{20};

// For a service divided by key, the owner of the key's slice; a draining owner
// too, until its slices have moved. Otherwise the better by `wait` of two
// random endpoints, those of the own failure domain first; draining and lost
// ones are left out. `random` decides which two are compared.
route_decision Route(const routing_snapshot& snapshot,
                     const caller_request& request,
                     const expected_wait& wait,
                     std::uint64_t random,
                     instant now);

}  // namespace bluebell

#endif  // BLUEBELL_ROUTING_ROUTE_H_
