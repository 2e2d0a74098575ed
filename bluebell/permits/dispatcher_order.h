// Chooses the daemon that dispatches a service. All daemons with the same
// snapshot of the fleet compute the same order. A daemon that can't reach the
// first entry uses the next one.
//
//   std::vector<fleet_member> order = DispatcherOrder(view, service);

#ifndef BLUEBELL_PERMITS_DISPATCHER_ORDER_H_
#define BLUEBELL_PERMITS_DISPATCHER_ORDER_H_

#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/fleet/fleet_member.h"
#include "bluebell/fleet/fleet_snapshot.h"

namespace bluebell {

// Returns all members in the order in which they should dispatch `service`.
//
// For a keyed service, the coordinator comes first. Then members with much
// processor time come before members with little. For a service that isn't
// keyed, the coordinator is the last of those that are equal in this.
// Rendezvous hashing orders the rest. Members that are leaving come after all
// others.
std::vector<fleet_member> DispatcherOrder(const fleet_snapshot& view,
                                          const service_name& service);

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_DISPATCHER_ORDER_H_
