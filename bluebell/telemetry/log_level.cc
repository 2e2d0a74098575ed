#include "bluebell/telemetry/log_level.h"

#include <array>
#include <cstddef>

namespace bluebell {

namespace {

// In the order of `log_level`.
constexpr auto kNames = std::to_array<std::string_view>(
    {"trace", "debug", "info", "warn", "error"});

}  // namespace

std::string_view ToString(log_level value) {
  return kNames.at(static_cast<std::size_t>(value));
}

std::optional<log_level> ParseLogLevel(std::string_view text) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames.at(i) == text) {
      return static_cast<log_level>(i);
    }
  }
  return std::nullopt;
}

}  // namespace bluebell
