#include "bluebell/telemetry/internal/log_line.h"

#include <chrono>
#include <cstddef>

#include "bluebell/core/time_text.h"
#include "bluebell/telemetry/internal/json_text.h"

namespace bluebell::internal {

std::string StartLogLine(wall_instant timestamp,
                         log_level level,
                         std::string_view message) {
  constexpr std::size_t kReservedBytes = 256;
  std::string line;
  line.reserve(kReservedBytes);
  line += R"({"time":")";
  line += ToIso8601(timestamp);
  line += R"(","level":")";
  line += ToString(level);
  line += R"(","message":)";
  AppendJsonString(line, message);
  return line;
}

std::string DroppedLinesNotice(std::uint64_t count) {
  std::string line = StartLogLine(std::chrono::system_clock::now(),
                                  log_level::kWarn, "log lines dropped");
  line += R"(,"count":)" + std::to_string(count) + '}';
  return line;
}

}  // namespace bluebell::internal
