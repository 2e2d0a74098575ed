// The HTTP clients for orders about keys, one for each endpoint's address.

#ifndef BLUEBELL_GATEWAY_ORDER_CLIENTS_H_
#define BLUEBELL_GATEWAY_ORDER_CLIENTS_H_

#include <map>
#include <memory>

#include "bluebell/core/address.h"

namespace bluebell {

class http_client;
struct fleet_snapshot;

using order_clients = std::map<address, std::unique_ptr<http_client>>;

// Destroys the clients of addresses that no endpoint in `view` has, with their
// idle connections. Calls in flight go on.
void CloseUnlistedClients(order_clients& clients, const fleet_snapshot& view);

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_ORDER_CLIENTS_H_
