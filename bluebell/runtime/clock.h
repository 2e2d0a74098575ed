// Clock readings for the event loops. Code that makes decisions reads no clock,
// but gets the time as an argument.

#ifndef BLUEBELL_RUNTIME_CLOCK_H_
#define BLUEBELL_RUNTIME_CLOCK_H_

#include <chrono>

#include "bluebell/core/time.h"

namespace bluebell {

// The monotonic clock.
inline instant Now() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::steady_clock::now());
}

// The system clock, which can be adjusted at any time.
inline wall_instant WallNow() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::system_clock::now());
}

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_CLOCK_H_
