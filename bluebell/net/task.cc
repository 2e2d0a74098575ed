#include "bluebell/net/task.h"

#include <atomic>
#include <string>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

std::atomic<std::uint64_t> unexpected_errors = 0;

std::string TextOf(const std::exception_ptr& failure) {
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& known) {
    return known.what();
  } catch (...) {
    return "not a std::exception";
  }
}

}  // namespace

void ReportUnexpected(std::string_view name,
                      const std::exception_ptr& failure) {
  const std::uint64_t count = ++unexpected_errors;
  log_event(log_level::kError, "unexpected error")
      .With("task", name)
      .With("detail", TextOf(failure))
      .With("count", count)
      .Write();
}

std::uint64_t UnexpectedErrorCount() {
  return unexpected_errors;
}

void SpawnTask(const boost::asio::any_io_executor& executor,
               std::string_view name,
               boost::asio::awaitable<void> task,
               std::function<void()> on_failure) {
  boost::asio::co_spawn(executor, std::move(task),
                        [name, on_failure = std::move(on_failure)](
                            const std::exception_ptr& failure) {
                          if (!failure) {
                            return;
                          }
                          ReportUnexpected(name, failure);
                          if (on_failure) {
                            on_failure();
                          }
                        });
}

void RunHandlers(boost::asio::io_context& io, std::string_view name) {
  bool finished = false;
  while (!finished) {
    try {
      io.run();
      finished = true;
    } catch (...) {
      ReportUnexpected(name, std::current_exception());
    }
  }
}

}  // namespace bluebell
