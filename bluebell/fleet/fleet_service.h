// One service in the operators' configuration.

#ifndef BLUEBELL_FLEET_FLEET_SERVICE_H_
#define BLUEBELL_FLEET_FLEET_SERVICE_H_

#include <cstdint>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct fleet_service {
  service_name name;
  // True if each key of the service is owned by one endpoint at a time.
  bool keyed = false;
  // The number of connections that one endpoint accepts from all daemons
  // together.
  std::uint32_t max_connections = 1;
  // How long an endpoint is cold after its start.
  milliseconds warm_up{0};
  // The requests per second that a cold endpoint can sustain; zero if there is
  // no such limit.
  double warm_up_per_s = 0;

  friend bool operator==(const fleet_service&, const fleet_service&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_SERVICE_H_
