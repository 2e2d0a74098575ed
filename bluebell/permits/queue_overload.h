// Tells whether a queue is overloaded: whether its requests have been expected
// to wait longer than their objectives allow for some time. A short burst
// doesn't count, since the queue works it off.
//
//   queue_overload overload;
//   overload.Record(wait, allowed_wait, now);
//   if (overload.IsOverloaded(now)) { ... }

#ifndef BLUEBELL_PERMITS_QUEUE_OVERLOAD_H_
#define BLUEBELL_PERMITS_QUEUE_OVERLOAD_H_

#include <optional>

#include "bluebell/core/time.h"

namespace bluebell {

class queue_overload {
 public:
  // Records the expected wait of a new request, and the wait with which it
  // would be answered within its objective.
  void Record(duration wait, duration allowed, instant now);
  bool IsOverloaded(instant now) const;

 private:
  // Since when requests have had to wait too long.
  std::optional<instant> above_since_;
  // How long that may last.
  duration delay_{0};
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_QUEUE_OVERLOAD_H_
