// What the settings say about one service.

#ifndef BLUEBELL_CORE_SERVICE_SPEC_H_
#define BLUEBELL_CORE_SERVICE_SPEC_H_

#include <cstdint>

#include "bluebell/core/ids.h"

namespace bluebell {

struct service_spec {
  service_name name;
  // True if each key has an owner. Then requests must name a key.
  bool keyed = true;
  // True if endpoints refuse orders that carry a lower epoch than the highest
  // they were granted.
  bool checks_epoch = true;
  // Requests that one endpoint runs at a time.
  std::uint32_t slots = 2;
  // Connections that an endpoint accepts from all daemons together.
  std::uint32_t connections = 120;
  // How many slices a new table of this service starts with.
  std::uint32_t initial_slices = 64;

  friend bool operator==(const service_spec&, const service_spec&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CORE_SERVICE_SPEC_H_
