// The condition of an endpoint as a daemon that probes it reports it to other
// daemons.

#ifndef BLUEBELL_MEMBERSHIP_ENDPOINT_STATUS_H_
#define BLUEBELL_MEMBERSHIP_ENDPOINT_STATUS_H_

#include <cstdint>
#include <string_view>

#include "bluebell/core/ids.h"

namespace bluebell {

enum class endpoint_condition : std::uint8_t { kServing, kDraining, kLost };

// The condition as text: "serving", "draining" or "lost".
std::string_view ToString(endpoint_condition value);

struct endpoint_status {
  endpoint_instance instance;
  endpoint_condition condition = endpoint_condition::kServing;

  friend bool operator==(const endpoint_status&,
                         const endpoint_status&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(instance, condition);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_MEMBERSHIP_ENDPOINT_STATUS_H_
