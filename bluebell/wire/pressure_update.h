// The queue pressure of an endpoint, sent by its dispatcher to entry daemons.

#ifndef BLUEBELL_WIRE_PRESSURE_UPDATE_H_
#define BLUEBELL_WIRE_PRESSURE_UPDATE_H_

#include "bluebell/core/ids.h"
#include "bluebell/dispatch/queue_pressure.h"

namespace bluebell {

struct pressure_update {
  service_name service;
  endpoint_instance endpoint;
  queue_pressure pressure;

  friend bool operator==(const pressure_update&,
                         const pressure_update&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, endpoint, pressure);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_PRESSURE_UPDATE_H_
