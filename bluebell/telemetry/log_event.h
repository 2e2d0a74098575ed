// Writes one entry of the structured log: a JSON object on a line of its own.
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
#include <type_traits>

#include "bluebell/core/error.h"
#include "bluebell/core/strong_value.h"
#include "bluebell/telemetry/log_level.h"

namespace bluebell {

class log_event {
 public:
  // Nothing is written if `level` is below the configured level.
  log_event(log_level level, std::string_view message);

  // Adds a field. Bytes of `value` that aren't valid UTF-8 become U+FFFD. Each
  // field name must be used once and must not be "time", "level" or "message".
  log_event& With(std::string_view name, std::string_view value);
  // A template, since overload resolution prefers the conversion of a string
  // literal to bool over the one to std::string_view.
  template <typename Number>
  requires std::is_arithmetic_v<Number> log_event& With(std::string_view name,
                                                        Number value) {
    if constexpr (std::same_as<Number, bool>) {
      return WithBool(name, value);
    } else if constexpr (std::is_floating_point_v<Number>) {
      return WithReal(name, static_cast<double>(value));
    } else if constexpr (std::is_signed_v<Number>) {
      return WithSigned(name, static_cast<std::int64_t>(value));
    } else {
      return WithUnsigned(name, static_cast<std::uint64_t>(value));
    }
  }
  template <typename Tag, typename Value>
  log_event& With(std::string_view name,
                  const strong_value<Tag, Value>& value) {
    return With(name, value.value());
  }
  // Adds the fields "code", "step", "peer" and "detail" of an error.
  log_event& With(const error& failure);

  // Passes the line to the log's thread without waiting for the file. If too
  // many lines are pending, the line is dropped, and the number of dropped
  // lines is logged when there is room again. May be called from any thread.
  void Write();

 private:
  log_event& WithBool(std::string_view name, bool value);
  log_event& WithReal(std::string_view name, double value);
  log_event& WithSigned(std::string_view name, std::int64_t value);
  log_event& WithUnsigned(std::string_view name, std::uint64_t value);
  log_event& WithJsonValue(std::string_view name, std::string_view json_value);

  bool enabled_;
  std::string line_;
};

// Configures the log; nothing is written before. If `file` is empty, the log
// goes to standard output. Otherwise it is appended to the file, which is
// rotated at a fixed size, since hosts have no disks. Events below `level` are
// not written.
void ConfigureLog(log_level level, const std::string& file);

// Blocks until all lines written so far are in the file. Call it before the
// process ends.
void FlushLog();

}  // namespace bluebell

#endif  // BLUEBELL_TELEMETRY_LOG_EVENT_H_
