// A daemon's view of the fleet at one moment: configuration, endpoints, key
// tables, daemons and coordinator. Immutable once it is published: the control
// thread publishes a new snapshot after each change, and traffic threads read
// it.
//
//   for (const fleet_endpoint& each : view->EndpointsOf(service)) ...

#ifndef BLUEBELL_FLEET_FLEET_SNAPSHOT_H_
#define BLUEBELL_FLEET_FLEET_SNAPSHOT_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/fleet/fleet_member.h"
#include "bluebell/fleet/route_config.h"
#include "bluebell/keyspace/key_table.h"

namespace bluebell {

struct fleet_snapshot {
  // Null until a configuration has been read.
  std::shared_ptr<const route_config> config;
  std::map<endpoint_id, fleet_endpoint> endpoints;
  // The failure domains that the operators evacuate. Their endpoints get no new
  // requests.
  std::set<domain_name> evacuated_domains;
  // The key tables of the keyed services, as far as this daemon follows them.
  std::map<service_name, key_table> tables;
  std::map<daemon_id, fleet_member> members;
  // The daemon that assigns keys and dispatches the keyed services. No value if
  // no daemon has that role.
  std::optional<daemon_instance> coordinator;
  // The store's revision of the latest change that this snapshot contains.
  // Changes of key tables don't count, because not every daemon follows them.
  store_version revision;
  // The store's revision of the latest change of an endpoint.
  store_version endpoints_revision;

  // The endpoints of `service`, in the order of their ids.
  std::vector<fleet_endpoint> EndpointsOf(const service_name& service) const;
};

using fleet_view = std::shared_ptr<const fleet_snapshot>;

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_SNAPSHOT_H_
