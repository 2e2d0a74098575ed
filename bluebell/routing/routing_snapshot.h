// The data that the traffic threads route by: an immutable value that the
// control thread publishes whenever something has changed.
//
//   std::shared_ptr<const routing_snapshot> current = publisher.Load();
//   route_decision decision = Route(*current, request, wait, random, now);

#ifndef BLUEBELL_ROUTING_ROUTING_SNAPSHOT_H_
#define BLUEBELL_ROUTING_ROUTING_SNAPSHOT_H_

#include <map>

#include "bluebell/config/fleet_config.h"
#include "bluebell/core/ids.h"
#include "bluebell/routing/service_routes.h"

namespace bluebell {

struct routing_snapshot {
  // This daemon and its failure domain.
  daemon_id self;
  domain_name domain;
  fleet_config config;
  std::map<service_name, service_routes> services;

  friend bool operator==(const routing_snapshot&,
                         const routing_snapshot&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_ROUTING_ROUTING_SNAPSHOT_H_
