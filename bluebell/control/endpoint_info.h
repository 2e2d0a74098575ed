// What the control state knows about an endpoint when it makes decisions.

#ifndef BLUEBELL_CONTROL_ENDPOINT_INFO_H_
#define BLUEBELL_CONTROL_ENDPOINT_INFO_H_

#include <cstdint>
#include <optional>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/membership/endpoint_status.h"

namespace bluebell {

struct endpoint_info {
  endpoint_instance instance;
  service_name service;
  domain_name domain;
  address where;
  endpoint_condition condition = endpoint_condition::kServing;

  // Whether the endpoint may get new work and slices.
  bool usable() const { return condition == endpoint_condition::kServing; }

  friend bool operator==(const endpoint_info&, const endpoint_info&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_ENDPOINT_INFO_H_
