// Limits the log lines for a repeated event to one per second.
//
//   if (const auto omitted = limiter.Admit(now)) {
//     // Write a line that reports `omitted` events without a line.
//   }

#ifndef BLUEBELL_RUNTIME_LOG_LIMITER_H_
#define BLUEBELL_RUNTIME_LOG_LIMITER_H_

#include <cstdint>
#include <optional>

#include "bluebell/core/time.h"

namespace bluebell {

class log_limiter {
 public:
  // Returns the number of events without a line since the last line, or nothing
  // if no line may be written for this event either.
  std::optional<std::uint64_t> Admit(instant now) {
    if (next_line_at_ && now < *next_line_at_) {
      ++omitted_;
      return std::nullopt;
    }
    next_line_at_ = now + seconds(1);
    const std::uint64_t omitted = omitted_;
    omitted_ = 0;
    return omitted;
  }

 private:
  std::optional<instant> next_line_at_;
  std::uint64_t omitted_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_LOG_LIMITER_H_
