// Limits on each connection of a caller, as the operators' configuration sets
// them.

#ifndef BLUEBELL_FLEET_CALLER_BOUNDS_H_
#define BLUEBELL_FLEET_CALLER_BOUNDS_H_

#include <cstdint>

#include "bluebell/core/time.h"

namespace bluebell {

struct caller_bounds {
  std::uint32_t max_header_bytes = 16U << 10U;
  std::uint64_t max_body_bytes = 1U << 20U;
  // Time limit from the first byte of a request to the end of its header.
  milliseconds header_timeout{3'000};
  // How long a connection may stay open without a request.
  milliseconds idle_timeout{15'000};

  friend bool operator==(const caller_bounds&, const caller_bounds&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_CALLER_BOUNDS_H_
