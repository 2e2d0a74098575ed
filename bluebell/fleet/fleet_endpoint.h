// An endpoint as the platform's registry lists it.

#ifndef BLUEBELL_FLEET_FLEET_ENDPOINT_H_
#define BLUEBELL_FLEET_FLEET_ENDPOINT_H_

#include <cstdint>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct fleet_endpoint {
  // The run is the start time of the process, so that a later run of the same
  // id counts as another owner of keys.
  endpoint_instance instance;
  service_name service;
  domain_name domain;
  address where;
  std::uint32_t slots = 1;
  // Takes no new requests.
  bool draining = false;
  // Its entry is missing, which may be due to an outage of the store.
  bool lapsing = false;
  // How much longer the endpoint stays slow after its start.
  milliseconds warm_up{0};

  friend bool operator==(const fleet_endpoint&,
                         const fleet_endpoint&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_ENDPOINT_H_
