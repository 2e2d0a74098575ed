#include "bluebell/telemetry/log_event.h"

#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cmath>
#include <memory>
#include <utility>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include "bluebell/telemetry/internal/json_text.h"
#include "bluebell/telemetry/internal/log_line.h"
#include "bluebell/telemetry/internal/log_queue.h"

namespace bluebell {

namespace {

// 2 s of lines, about 5 MB, at 10,000 lines per second.
constexpr std::size_t kMaxPendingLines = 20'000;
// Limits a log on a memory file system to 5 files of 32 MB.
constexpr std::int32_t kMaxFileBytes = 32 << 20;
constexpr int kMaxRotatedFiles = 4;
// Above all levels.
constexpr int kLoggingDisabled = 100;

// Events below this level are not written.
std::atomic<int>& MinLevel() {
  static std::atomic<int> level{kLoggingDisabled};
  return level;
}

log4cplus::SharedAppenderPtr MakeAppender(const std::string& file) {
  log4cplus::SharedAppenderPtr appender;
  if (file.empty()) {
    appender = new log4cplus::ConsoleAppender(false, true);
  } else {
    appender = new log4cplus::RollingFileAppender(file, kMaxFileBytes,
                                                  kMaxRotatedFiles);
  }
  // The lines are already formatted; log4cplus only adds the line feed.
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
  return appender;
}

// The log of the process. It is destroyed at exit and writes its pending lines
// then.
class process_log {
 public:
  explicit process_log(const std::string& file)
      : logger_(log4cplus::Logger::getInstance("bluebell")),
        queue_([this](const std::string& line) { WriteLine(line); },
               kMaxPendingLines) {
    logger_.removeAllAppenders();
    logger_.setAdditivity(false);
    logger_.setLogLevel(log4cplus::ALL_LOG_LEVEL);
    logger_.addAppender(MakeAppender(file));
  }

  process_log(const process_log&) = delete;
  process_log& operator=(const process_log&) = delete;
  // Lines that objects log while the process exits are dropped.
  ~process_log() { MinLevel().store(kLoggingDisabled); }

  internal::log_queue& queue() { return queue_; }

 private:
  void WriteLine(const std::string& line) {
    logger_.forcedLog(log4cplus::INFO_LOG_LEVEL, line);
  }

  log4cplus::Initializer initializer_;
  log4cplus::Logger logger_;
  internal::log_queue queue_;
};

std::shared_ptr<process_log>& CurrentLog() {
  static std::shared_ptr<process_log> log;
  return log;
}

}  // namespace

log_event::log_event(log_level level, std::string_view message)
    : enabled_(static_cast<int>(level) >=
               MinLevel().load(std::memory_order_acquire)) {
  if (enabled_) {
    line_ = internal::StartLogLine(std::chrono::system_clock::now(), level,
                                   message);
  }
}

log_event& log_event::With(std::string_view name, std::string_view value) {
  if (enabled_) {
    line_ += ',';
    internal::AppendJsonString(line_, name);
    line_ += ':';
    internal::AppendJsonString(line_, value);
  }
  return *this;
}

log_event& log_event::WithBool(std::string_view name, bool value) {
  return WithJsonValue(name, value ? "true" : "false");
}

log_event& log_event::WithReal(std::string_view name, double value) {
  if (!std::isfinite(value)) {
    // JSON can't represent infinities or NaN.
    return WithJsonValue(name, "null");
  }
  std::array<char, 32> digits{};
  const auto end =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  return WithJsonValue(name, std::string_view(digits.data(), end.ptr));
}

log_event& log_event::WithSigned(std::string_view name, std::int64_t value) {
  return WithJsonValue(name, std::to_string(value));
}

log_event& log_event::WithUnsigned(std::string_view name, std::uint64_t value) {
  return WithJsonValue(name, std::to_string(value));
}

log_event& log_event::WithJsonValue(std::string_view name,
                                    std::string_view json_value) {
  if (enabled_) {
    line_ += ',';
    internal::AppendJsonString(line_, name);
    line_ += ':';
    line_ += json_value;
  }
  return *this;
}

log_event& log_event::With(const error& failure) {
  return With("code", failure.code().message())
      .With("step", ToString(failure.at()))
      .With("peer", failure.peer())
      .With("detail", failure.detail());
}

void log_event::Write() {
  if (enabled_) {
    line_ += '}';
    CurrentLog()->queue().Push(std::move(line_));
    enabled_ = false;
  }
}

void ConfigureLog(log_level level, const std::string& file) {
  MinLevel().store(kLoggingDisabled, std::memory_order_release);
  CurrentLog().reset();
  CurrentLog() = std::make_shared<process_log>(file);
  MinLevel().store(static_cast<int>(level), std::memory_order_release);
}

void FlushLog() {
  if (CurrentLog()) {
    CurrentLog()->queue().Flush();
  }
}

}  // namespace bluebell
