// The levels of log events and their names, such as "info".

#ifndef BLUEBELL_TELEMETRY_LOG_LEVEL_H_
#define BLUEBELL_TELEMETRY_LOG_LEVEL_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace bluebell {

enum class log_level : std::uint8_t { kTrace, kDebug, kInfo, kWarn, kError };

std::string_view ToString(log_level value);
// Returns nullopt if `text` is not the name of a level.
std::optional<log_level> ParseLogLevel(std::string_view text);

}  // namespace bluebell

#endif  // BLUEBELL_TELEMETRY_LOG_LEVEL_H_
