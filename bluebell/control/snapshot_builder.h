// Builds the immutable snapshot by which the traffic threads route requests.

#ifndef BLUEBELL_CONTROL_SNAPSHOT_BUILDER_H_
#define BLUEBELL_CONTROL_SNAPSHOT_BUILDER_H_

#include <map>
#include <vector>

#include "bluebell/config/fleet_config.h"
#include "bluebell/control/endpoint_info.h"
#include "bluebell/control/local_table.h"
#include "bluebell/membership/member_view.h"
#include "bluebell/routing/routing_snapshot.h"
#include "bluebell/settings/daemon_settings.h"

namespace bluebell {

// Refers to objects of the caller.
struct snapshot_inputs {
  const daemon_settings& settings;
  const member_view& view;
  const fleet_config& config;
  const std::vector<endpoint_info>& endpoints;
  const std::map<service_name, local_table>& local_tables;
  instant now;
};

routing_snapshot BuildSnapshot(const snapshot_inputs& inputs);

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_SNAPSHOT_BUILDER_H_
