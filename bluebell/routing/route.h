// Selects the endpoint for a request and the daemon that sends the request to
// it. Called by the entry daemon on its traffic threads.
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

// The endpoint that a request is sent to, and the ownership under which it is
// sent.
struct order_target {
  endpoint_entry endpoint;
  // The owned slice; nullopt if the endpoint was chosen by load.
  std::optional<slice_range> range;
  // The epoch of the ownership; the default value if `range` is nullopt.
  epoch at;
  // See slice_route; instant::max() if `range` is nullopt.
  instant may_write_until;

  friend bool operator==(const order_target&, const order_target&) = default;
};

// This daemon is the endpoint's dispatcher and queues the request itself.
struct dispatch_here {
  order_target target;

  friend bool operator==(const dispatch_here&, const dispatch_here&) = default;
};

// Another daemon is the endpoint's dispatcher; the request is forwarded to it.
struct forward_to {
  order_target target;

  friend bool operator==(const forward_to&, const forward_to&) = default;
};

// A planned move transfers the slice to a new owner. The entry
// daemon routes the request again after a short wait.
struct wait_for_owner {
  slice_range range;

  friend bool operator==(const wait_for_owner&,
                         const wait_for_owner&) = default;
};

// The request can't be served now and is refused with this reason.
struct reject_request {
  not_run why;

  friend bool operator==(const reject_request&,
                         const reject_request&) = default;
};

using route_decision =
    std::variant<dispatch_here, forward_to, wait_for_owner, reject_request>;

// Returns the wait that the entry daemon expects at an endpoint for a request
// of this rank. Used to choose among the endpoints of a service when any of
// them may run the request.
using expected_wait =
    std::function<duration(const endpoint_instance& instance, rank priority)>;

// If the expected wait in this daemon's failure domain exceeds this time, a
// request goes to another domain, provided that the wait there is shorter by
// more than this time. The value is larger than the network delay between
// domains (1.5 ms) and smaller than a delay that a caller notices.
inline constexpr milliseconds kCrossDomainWaitThreshold{20};

// A request with an owned hash (see ownership_hash.h) goes to the owner of its
// slice, also while that owner drains, until the slice has moved. Any other
// request goes to the endpoint with the shorter `wait` of two random ones.
// Endpoints of this daemon's failure domain are preferred; draining and lost
// ones are excluded. `random` selects the two. A request that can't be routed
// yields reject_request with the reason.
route_decision Route(const routing_snapshot& snapshot,
                     const caller_request& request,
                     const expected_wait& wait,
                     std::uint64_t random,
                     instant now);

}  // namespace bluebell

#endif  // BLUEBELL_ROUTING_ROUTE_H_
