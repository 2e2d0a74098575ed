// The state of one endpoint that the traffic threads use for routing: its
// addresses, condition, dispatcher and policy. Part of a routing_snapshot.
//
//   const endpoint_entry* entry = routes.FindEndpoint(instance);

#ifndef BLUEBELL_ROUTING_ENDPOINT_ENTRY_H_
#define BLUEBELL_ROUTING_ENDPOINT_ENTRY_H_

#include <cstdint>

#include "bluebell/config/policy_values.h"
#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/membership/endpoint_status.h"

namespace bluebell {

struct endpoint_entry {
  endpoint_instance instance;
  address where;
  domain_name domain;
  endpoint_condition condition = endpoint_condition::kServing;
  // The daemon that queues the requests for this endpoint, and the TCP address
  // of that daemon.
  daemon_id dispatcher;
  address dispatcher_address;
  std::uint32_t slots = 0;
  // The policy of this endpoint: the defaults with all exceptions applied.
  policy_values values;

  friend bool operator==(const endpoint_entry&,
                         const endpoint_entry&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_ROUTING_ENDPOINT_ENTRY_H_
