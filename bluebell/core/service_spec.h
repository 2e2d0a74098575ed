// The settings of one service.

#ifndef BLUEBELL_CORE_SERVICE_SPEC_H_
#define BLUEBELL_CORE_SERVICE_SPEC_H_

#include <cstdint>

#include "bluebell/core/ids.h"

namespace bluebell {

struct service_spec {
  service_name name;
  // True if each key of the service has an owner. Requests must then name a
  // key.
  bool keyed = true;
  // True if endpoints refuse requests that carry a lower epoch than the highest
  // one they were granted.
  bool checks_epoch = true;
  // Requests that one endpoint runs at the same time.
  std::uint32_t slots = 2;
  // Connections that an endpoint accepts from all daemons together.
  std::uint32_t connections = 120;
  // The number of slices in the first placement table of this service.
  std::uint32_t initial_slices = 64;

  friend bool operator==(const service_spec&, const service_spec&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CORE_SERVICE_SPEC_H_
