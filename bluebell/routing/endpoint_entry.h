// What the traffic threads know of one endpoint.

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
  // The daemon that holds this endpoint's queue, and its TCP address.
  daemon_id dispatcher;
  address dispatcher_address;
  std::uint32_t slots = 0;
  // In force for this endpoint: defaults and exceptions applied.
  policy_values values;

  friend bool operator==(const endpoint_entry&,
                         const endpoint_entry&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_ROUTING_ENDPOINT_ENTRY_H_
