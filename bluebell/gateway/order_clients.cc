#include "bluebell/gateway/order_clients.h"

#include <set>

#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/http/http_client.h"

namespace bluebell {

void CloseUnlistedClients(order_clients& clients, const fleet_snapshot& view) {
  std::set<address> listed;
  for (const auto& [id, endpoint] : view.endpoints) {
    listed.insert(endpoint.where);
  }
  std::erase_if(clients, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
}

}  // namespace bluebell
