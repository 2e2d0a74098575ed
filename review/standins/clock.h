// Time of a run: milliseconds since its start, by the steady clock.

#ifndef REVIEW_STANDINS_CLOCK_H_
#define REVIEW_STANDINS_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <thread>

namespace review {

using instant = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

inline instant Now() {
  return std::chrono::steady_clock::now();
}

inline instant RunStart() {
  static const instant start = Now();
  return start;
}

inline std::int64_t MillisSinceStart(instant when) {
  return std::chrono::duration_cast<milliseconds>(when - RunStart()).count();
}

inline void Sleep(milliseconds time) {
  std::this_thread::sleep_for(time);
}

inline std::int64_t UnixMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace review

#endif  // REVIEW_STANDINS_CLOCK_H_
