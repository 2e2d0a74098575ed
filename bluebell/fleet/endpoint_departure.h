// Notes that an endpoint has left service in a daemon's state of the fleet, so
// that the log shows when and from which source the daemon learned of it.

#ifndef BLUEBELL_FLEET_ENDPOINT_DEPARTURE_H_
#define BLUEBELL_FLEET_ENDPOINT_DEPARTURE_H_

#include <string_view>

#include "bluebell/core/ids.h"

namespace bluebell {

enum class departure_cause {
  // Its entry says that it is draining, or it has said so in a response.
  kDraining,
  // Its failure domain is being evacuated.
  kEvacuated,
  // Its entry is missing after an outage of the store; see fleet_state.
  kLapsing,
  // Its entry is gone or malformed.
  kRemoved,
};

struct endpoint_departure {
  endpoint_id endpoint;
  departure_cause cause = departure_cause::kRemoved;

  friend bool operator==(const endpoint_departure&,
                         const endpoint_departure&) = default;
};

std::string_view Describe(departure_cause cause);

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_ENDPOINT_DEPARTURE_H_
