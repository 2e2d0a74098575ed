// What a cold endpoint of one service may get.
//
//   auto bound = cold_start_bound::For(service, {1.5, 8});
//   if (bound) { limit.SetBound(*bound); }

#ifndef BLUEBELL_PERMITS_COLD_START_BOUND_H_
#define BLUEBELL_PERMITS_COLD_START_BOUND_H_

#include <cstddef>
#include <optional>

#include "bluebell/fleet/fleet_service.h"
#include "bluebell/permits/warmup_allowance.h"

namespace bluebell {

struct cold_start_bound {
  // The requests per second that a cold endpoint can sustain.
  double per_s = 0;
  // The most requests that it may get in any second, over all daemons.
  double max_in_second = 0;

  // Returns nullopt if the configuration states no rate for the service, or the
  // settings state neither part of the allowance. A single missing part counts
  // as the stricter value: an overage of 1, a slack of 0.
  static std::optional<cold_start_bound> For(const fleet_service& service,
                                             const warmup_allowance& allowance);

  // The most permits that one dispatcher issues for a cold endpoint in a window
  // of cold_start_limit: half of the bound, because two daemons may consider
  // themselves first at the same time.
  std::size_t PermitsPerWindow() const;

  friend bool operator==(const cold_start_bound&,
                         const cold_start_bound&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_COLD_START_BOUND_H_
