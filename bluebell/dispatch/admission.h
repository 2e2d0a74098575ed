// The verdict of an endpoint's queue on a request.

#ifndef BLUEBELL_DISPATCH_ADMISSION_H_
#define BLUEBELL_DISPATCH_ADMISSION_H_

#include <string_view>
#include <variant>

#include "bluebell/core/time.h"

namespace bluebell {

struct admitted {
  friend bool operator==(const admitted&, const admitted&) = default;
};

enum class rejection_cause {
  kDeadlineExpired,
  kWouldMissDeadline,
  kQueueFull,
  kCallerOverShare,
};

struct rejected {
  rejection_cause cause = rejection_cause::kQueueFull;
  milliseconds retry_after{0};

  friend bool operator==(const rejected&, const rejected&) = default;
};

using admission = std::variant<admitted, rejected>;

std::string_view ToString(rejection_cause value);

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_ADMISSION_H_
