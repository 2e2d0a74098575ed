// Formats log lines as JSON objects.

#ifndef BLUEBELL_TELEMETRY_INTERNAL_LOG_LINE_H_
#define BLUEBELL_TELEMETRY_INTERNAL_LOG_LINE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "bluebell/core/time.h"
#include "bluebell/telemetry/log_level.h"

namespace bluebell::internal {

// Returns the line with its time, level and message, without the closing brace.
std::string StartLogLine(wall_instant timestamp,
                         log_level level,
                         std::string_view message);

// Returns the complete line that reports how many lines were dropped because
// the queue was full.
std::string DroppedLinesNotice(std::uint64_t count);

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_LOG_LINE_H_
