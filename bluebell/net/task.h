// Runs coroutines and handlers so that an unexpected exception ends only the
// one that it leaves, and not the process. Every such exception is logged.
//
//   SpawnTask(io.get_executor(), "member lease", Run());
//   RunHandlers(io, "traffic");

#ifndef BLUEBELL_NET_TASK_H_
#define BLUEBELL_NET_TASK_H_

#include <cstdint>
#include <exception>
#include <functional>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

// Starts a coroutine that nothing waits for. If an exception leaves it, calls
// `on_failure`, for example to start it again. `name` must be a literal; it
// names the task in the log.
void SpawnTask(const boost::asio::any_io_executor& executor,
               std::string_view name,
               boost::asio::awaitable<void> task,
               std::function<void()> on_failure = nullptr);

// Runs the handlers of `io` until it is stopped or has no work left. `name`
// names the thread in the log.
void RunHandlers(boost::asio::io_context& io, std::string_view name);

// Logs an exception that left the task or thread `name`, and counts it.
void ReportUnexpected(std::string_view name, const std::exception_ptr& failure);

// The number of exceptions reported in this process.
std::uint64_t UnexpectedErrorCount();

}  // namespace bluebell

#endif  // BLUEBELL_NET_TASK_H_
