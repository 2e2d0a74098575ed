// States that the limit of a cold endpoint holds requests back; for logs and
// counters.

#ifndef BLUEBELL_PERMITS_COLD_START_HOLD_H_
#define BLUEBELL_PERMITS_COLD_START_HOLD_H_

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct cold_start_hold {
  endpoint_id endpoint;
  // Time until the next permit for the endpoint may be issued.
  duration wait{0};
  // False if this daemon issues no permits for cold endpoints at the moment,
  // because it isn't first in its dispatcher order or has just become first.
  bool is_issuing = false;

  friend bool operator==(const cold_start_hold&,
                         const cold_start_hold&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_COLD_START_HOLD_H_
