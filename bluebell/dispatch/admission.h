// The result of submitting a request to an endpoint's queue.

#ifndef BLUEBELL_DISPATCH_ADMISSION_H_
#define BLUEBELL_DISPATCH_ADMISSION_H_

#include <string_view>
#include <variant>

#include "bluebell/core/time.h"

namespace bluebell {

struct admitted {
  friend bool operator==(const admitted&, const admitted&) = default;
};

// Why a queue rejects a request. The names that ToString() gives are part of
// answers to callers.
enum class rejection_cause {
  // The deadline has passed.
  kDeadlineExpired,
  // The expected wait exceeds the time to the deadline.
  kWouldMissDeadline,
  // The queue of the rank is at its limit.
  kQueueFull,
  // The caller already has its share of the queue.
  kCallerOverShare,
};

struct rejected {
  rejection_cause cause = rejection_cause::kQueueFull;
  // Hint to the caller: the time after which a new attempt may succeed.
  milliseconds retry_after{0};

  friend bool operator==(const rejected&, const rejected&) = default;
};

using admission = std::variant<admitted, rejected>;

std::string_view ToString(rejection_cause value);

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_ADMISSION_H_
