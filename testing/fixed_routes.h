// A routing snapshot with fixed endpoints, for tests of the traffic side
// without a control thread.
//
//   auto snapshot = FixedRoutes(daemon_id("d"), spec, {{instance, where}});

#ifndef BLUEBELL_TESTING_FIXED_ROUTES_H_
#define BLUEBELL_TESTING_FIXED_ROUTES_H_

#include <memory>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/service_spec.h"
#include "bluebell/routing/routing_snapshot.h"

namespace bluebell {

struct fixed_endpoint {
  endpoint_instance instance;
  address where;
  daemon_id dispatcher;
  address dispatcher_address;

  friend bool operator==(const fixed_endpoint&,
                         const fixed_endpoint&) = default;
};

// The endpoints own the slices of a keyed service in turn, under epoch 1, for
// an hour.
std::shared_ptr<const routing_snapshot> FixedRoutes(
    const daemon_id& self,
    const service_spec& spec,
    const std::vector<fixed_endpoint>& endpoints);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_FIXED_ROUTES_H_
