// Formatting of points in time.
//
//   std::string when = ToIso8601(now);  // "2026-12-04T10:27:40.123Z"

#ifndef BLUEBELL_CORE_TIME_TEXT_H_
#define BLUEBELL_CORE_TIME_TEXT_H_

#include <string>

#include "bluebell/core/time.h"

namespace bluebell {

// Formats `when` in UTC with milliseconds. Finer parts are truncated. The year
// must be in 0 to 9999.
std::string ToIso8601(wall_instant when);

}  // namespace bluebell

#endif  // BLUEBELL_CORE_TIME_TEXT_H_
