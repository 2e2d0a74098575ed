// Limits of a request ledger.

#ifndef BLUEBELL_DISPATCH_LEDGER_LIMITS_H_
#define BLUEBELL_DISPATCH_LEDGER_LIMITS_H_

#include <cstddef>

#include "bluebell/core/time.h"

namespace bluebell {

struct ledger_limits {
  // The number of requests on record.
  std::size_t max_entries = 20'000;
  // The total size of the recorded answers. Beyond it, the answers that were
  // recorded first are dropped; the ids of their requests stay in the ledger.
  std::size_t max_answer_bytes = 8U << 20U;
  // The largest difference between the clocks of a caller and of this host.
  milliseconds max_clock_error{500};

  friend bool operator==(const ledger_limits&, const ledger_limits&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_LEDGER_LIMITS_H_
