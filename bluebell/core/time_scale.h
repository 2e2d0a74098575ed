// Multiplies durations by real factors.
//
//   duration longer = Scale(milliseconds(160), 1.5);

#ifndef BLUEBELL_CORE_TIME_SCALE_H_
#define BLUEBELL_CORE_TIME_SCALE_H_

#include <cstdint>

#include "bluebell/core/time.h"

namespace bluebell {

inline duration Scale(duration time, double factor) {
  return duration(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

}  // namespace bluebell

#endif  // BLUEBELL_CORE_TIME_SCALE_H_
