// Types for points in time and durations.
//
// Functions that make decisions take the present time as an argument. Only
// event loops and programs read a clock.
//
//   instant deadline = now + milliseconds(250);

#ifndef BLUEBELL_CORE_TIME_H_
#define BLUEBELL_CORE_TIME_H_

#include <chrono>

namespace bluebell {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

using duration = nanoseconds;

// A point in time on this process's monotonic clock. Not comparable between
// processes.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

// A point in time on the wall clock. Used only for the issue time of request
// ids and for display.
using wall_instant =
    std::chrono::time_point<std::chrono::system_clock, duration>;

}  // namespace bluebell

#endif  // BLUEBELL_CORE_TIME_H_
