// The clocks as the event loops read them. Decisions get the time as an
// argument.

#ifndef BLUEBELL_RUNTIME_CLOCK_H_
#define BLUEBELL_RUNTIME_CLOCK_H_

#include <chrono>

#include "bluebell/core/time.h"

namespace bluebell {

inline instant Now() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::steady_clock::now());
}

inline wall_instant WallNow() {
  return std::chrono::time_point_cast<duration>(
      std::chrono::system_clock::now());
}

}  // namespace bluebell

#endif  // BLUEBELL_RUNTIME_CLOCK_H_
