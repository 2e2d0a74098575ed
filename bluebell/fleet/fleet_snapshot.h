// All that a daemon knows of the fleet at one moment. Immutable: the control
// thread publishes a new one for each change, traffic threads read it.

#ifndef BLUEBELL_FLEET_FLEET_SNAPSHOT_H_
#define BLUEBELL_FLEET_FLEET_SNAPSHOT_H_

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/fleet/fleet_member.h"
#include "bluebell/fleet/route_config.h"
#include "bluebell/keyspace/key_table.h"

namespace bluebell {

struct fleet_snapshot {
  // Null until a configuration is known.
  std::shared_ptr<const route_config> config;
  std::map<endpoint_id, fleet_endpoint> endpoints;
  std::map<service_name, key_table> tables;
  std::map<daemon_id, fleet_member> members;
  // The daemon that assigns keys and dispatches the keyed services.
  std::optional<daemon_instance> coordinator;
  // The store's revision of the latest change in this state. Key tables don't
  // count, since not every daemon follows them.
  store_version revision;
  // The same of the endpoints alone.
  store_version endpoints_revision;

  std::vector<fleet_endpoint> EndpointsOf(const service_name& service) const;
};

using fleet_view = std::shared_ptr<const fleet_snapshot>;

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_SNAPSHOT_H_
