// Chooses the relays of a failure domain: the daemons that watch the platform's
// store and hand its changes on to the other daemons of the domain. All daemons
// with the same view choose the same.
//
//   std::vector<fleet_member> relays = RelaysOf(view, domain);

#ifndef BLUEBELL_FLEET_RELAY_ORDER_H_
#define BLUEBELL_FLEET_RELAY_ORDER_H_

#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/fleet/fleet_member.h"
#include "bluebell/fleet/fleet_snapshot.h"

namespace bluebell {

// Returns the domain's relays. Empty for a domain with so few daemons that each
// of them watches the store. Rendezvous hashing chooses among those with much
// processor time; the coordinator and leaving daemons come last.
std::vector<fleet_member> RelaysOf(const fleet_snapshot& view,
                                   const domain_name& domain);

// Returns the daemons that the others of the domain ask to confirm their state
// while they watch the store: the relays, or one daemon of a smaller domain.
// That is the coordinator, if it belongs to the domain, since its watch returns
// often.
std::vector<fleet_member> ConfirmingPeersOf(const fleet_snapshot& view,
                                            const domain_name& domain);

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_RELAY_ORDER_H_
