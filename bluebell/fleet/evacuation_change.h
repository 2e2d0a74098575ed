// Notes that the evacuation of a failure domain has begun or ended in a
// daemon's state of the fleet, for its log.

#ifndef BLUEBELL_FLEET_EVACUATION_CHANGE_H_
#define BLUEBELL_FLEET_EVACUATION_CHANGE_H_

#include <cstddef>

#include "bluebell/core/ids.h"

namespace bluebell {

struct evacuation_change {
  domain_name domain;
  // False if the evacuation has ended.
  bool begins = false;
  // The number of the domain's endpoints.
  std::size_t endpoints = 0;

  friend bool operator==(const evacuation_change&,
                         const evacuation_change&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_EVACUATION_CHANGE_H_
