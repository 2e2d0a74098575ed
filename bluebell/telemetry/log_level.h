// The levels of log lines.

#ifndef BLUEBELL_TELEMETRY_LOG_LEVEL_H_
#define BLUEBELL_TELEMETRY_LOG_LEVEL_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace bluebell {

enum class log_level : std::uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

std::string_view ToString(log_level value);
std::optional<log_level> ParseLogLevel(std::string_view text);

}  // namespace bluebell

#endif  // BLUEBELL_TELEMETRY_LOG_LEVEL_H_
