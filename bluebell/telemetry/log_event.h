// One line of the structured log: a JSON object on a line of its own.
//
//   log_event(log_level::kInfo, "slice moved")
//       .With("service", service.value())
//       .With("epoch", epoch.value())
//       .Write();

#ifndef BLUEBELL_TELEMETRY_LOG_EVENT_H_
#define BLUEBELL_TELEMETRY_LOG_EVENT_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "bluebell/core/error.h"
#include "bluebell/telemetry/log_level.h"

namespace bluebell {

class log_event {
 public:
  log_event(log_level level, std::string_view message);

  log_event& With(std::string_view name, std::string_view value);
  log_event& With(std::string_view name, bool value);
  log_event& With(std::string_view name, double value);
  template <std::integral Number>
  log_event& With(std::string_view name, Number value) {
    return WithNumber(name, static_cast<std::int64_t>(value));
  }
  // Adds code, step, peer and detail.
  log_event& With(const error& failure);

  void Write();

 private:
  log_event& WithNumber(std::string_view name, std::int64_t value);

  log_level level_;
  bool enabled_;
  std::string fields_;
};

// Configures the log once, before the first line. `file` empty: standard
// output. `level` is the least level written.
void ConfigureLog(log_level level, const std::string& file);

}  // namespace bluebell

#endif  // BLUEBELL_TELEMETRY_LOG_EVENT_H_
