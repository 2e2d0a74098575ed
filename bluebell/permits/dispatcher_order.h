// Which daemon dispatches a service. All daemons with the same view of the
// fleet agree; one that can't reach the first takes the next.
//
//   std::vector<fleet_member> order = DispatcherOrder(view, service);

#ifndef BLUEBELL_PERMITS_DISPATCHER_ORDER_H_
#define BLUEBELL_PERMITS_DISPATCHER_ORDER_H_

#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/fleet/fleet_member.h"
#include "bluebell/fleet/fleet_snapshot.h"

namespace bluebell {

// The first is the coordinator for a keyed service. For others it is one of the
// members with the most processor time, by rendezvous hash, and not the
// coordinator if there are several. Members that are leaving come last.
std::vector<fleet_member> DispatcherOrder(const fleet_snapshot& view,
                                          const service_name& service);

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_DISPATCHER_ORDER_H_
