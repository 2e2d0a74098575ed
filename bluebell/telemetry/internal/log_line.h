// The text of log lines.

#ifndef BLUEBELL_TELEMETRY_INTERNAL_LOG_LINE_H_
#define BLUEBELL_TELEMETRY_INTERNAL_LOG_LINE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "bluebell/core/time.h"
#include "bluebell/telemetry/log_level.h"

namespace bluebell::internal {

// The line up to and with its message, without the closing brace.
std::string BeginLine(wall_instant when,
                      log_level level,
                      std::string_view message);

// The whole line that reports lines dropped for lack of room.
std::string DroppedLinesNotice(std::uint64_t count);

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_LOG_LINE_H_
