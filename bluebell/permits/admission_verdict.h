// What an admission_control decides about a request.

#ifndef BLUEBELL_PERMITS_ADMISSION_VERDICT_H_
#define BLUEBELL_PERMITS_ADMISSION_VERDICT_H_

#include <variant>

#include "bluebell/core/time.h"

namespace bluebell {

// The request waits for a slot.
struct admitted {
  // The objective that counts for its position. Once it can't be met, the
  // request waits behind all those of its rank that can meet theirs.
  instant objective;
  // The multiple of the mean work that must fit before the objective.
  double on_time_work_factor = 0;

  friend bool operator==(const admitted&, const admitted&) = default;
};

struct refused_until {
  // Time until the caller may return.
  duration retry_after{0};
  // True if capacity is reserved for it at that time.
  bool promised = false;

  friend bool operator==(const refused_until&, const refused_until&) = default;
};

using admission_verdict = std::variant<admitted, refused_until>;

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ADMISSION_VERDICT_H_
