// An endpoint as the platform's registry lists it.

#ifndef BLUEBELL_FLEET_FLEET_ENDPOINT_H_
#define BLUEBELL_FLEET_FLEET_ENDPOINT_H_

#include <cstdint>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct fleet_endpoint {
  // The run is the start time of the process, so that a later process with the
  // same id is another owner of keys.
  endpoint_instance instance;
  service_name service;
  domain_name domain;
  // Where the endpoint takes requests and orders about keys.
  address where;
  // How many requests the endpoint runs at the same time.
  std::uint32_t slots = 1;
  // True if the endpoint takes no new requests.
  bool draining = false;
  // True while the operators evacuate the endpoint's failure domain.
  bool evacuated = false;
  // True if the registry entry has been deleted shortly after an outage of the
  // store, during which entries of running endpoints may have expired. The
  // endpoint is removed if the entry doesn't return in time.
  bool lapsing = false;
  // The remaining time for which the endpoint is slower after its start.
  milliseconds warm_up_remaining{0};
  // Until when the endpoint is cold, as known from the latest statement about
  // it; see fleet_service::warm_up_per_s.
  instant cold_until;

  // True if new requests and keys may go to the endpoint.
  bool TakesRequests() const { return !draining && !evacuated; }

  friend bool operator==(const fleet_endpoint&,
                         const fleet_endpoint&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_ENDPOINT_H_
