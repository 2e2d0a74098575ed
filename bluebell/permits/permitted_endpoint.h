// Decides where a daemon sends a request for which it has been granted a
// permit: the dispatcher's view of the endpoints may be older than the daemon's
// own, for example after a cut, or newer.
//
//   auto endpoint = PermittedEndpoint(*view, granted);

#ifndef BLUEBELL_PERMITS_PERMITTED_ENDPOINT_H_
#define BLUEBELL_PERMITS_PERMITTED_ENDPOINT_H_

#include <optional>

#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/permits/permit_message.h"

namespace bluebell {

// Returns the endpoint of the permit. nullopt if it has left service according
// to `view`, unless the dispatcher knows a later state of the endpoints.
std::optional<fleet_endpoint> PermittedEndpoint(const fleet_snapshot& view,
                                                const permit_granted& granted);

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_PERMITTED_ENDPOINT_H_
