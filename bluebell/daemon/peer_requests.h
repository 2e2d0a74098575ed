// Handles the messages of other daemons: forwarded requests, queries about
// requests after a lost link, transferred ledgers, and requests for state.
//
//   peer_handler handler = ServePeers(plane, control, metrics);

#ifndef BLUEBELL_DAEMON_PEER_REQUESTS_H_
#define BLUEBELL_DAEMON_PEER_REQUESTS_H_

#include "bluebell/peer/peer_server.h"

namespace bluebell {

class control_loop;
class metrics_registry;
class traffic_plane;

// All arguments must outlive the handler.
peer_handler ServePeers(traffic_plane& plane,
                        control_loop& control,
                        metrics_registry& metrics);

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_PEER_REQUESTS_H_
