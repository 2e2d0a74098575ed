// Bounds on what a request ledger keeps.

#ifndef BLUEBELL_DISPATCH_LEDGER_LIMITS_H_
#define BLUEBELL_DISPATCH_LEDGER_LIMITS_H_

#include <cstddef>

#include "bluebell/core/time.h"

namespace bluebell {

struct ledger_limits {
  std::size_t max_entries = 20'000;
  // Bytes of answers kept; the oldest answers are dropped first, their ids
  // stay.
  std::size_t max_answer_bytes = 8U << 20U;
  milliseconds max_clock_error{500};

  friend bool operator==(const ledger_limits&, const ledger_limits&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_LEDGER_LIMITS_H_
