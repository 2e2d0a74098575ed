// A bounded queue of log lines between the threads that log and the one that
// writes.
//
//   log_queue queue(write, max_pending_lines);
//   queue.Push(R"({"message":"started"})");

#ifndef BLUEBELL_TELEMETRY_INTERNAL_LOG_QUEUE_H_
#define BLUEBELL_TELEMETRY_INTERNAL_LOG_QUEUE_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace bluebell::internal {

// The lines are written on a thread of the queue, so that a slow log file never
// blocks the threads that log. All functions may be called from any thread.
class log_queue {
 public:
  using writer = std::function<void(const std::string& line)>;

  // `write` is called for each line, on the queue's thread. While
  // `max_pending_lines` lines are pending, further lines are dropped and
  // counted.
  log_queue(writer write, std::size_t max_pending_lines);
  log_queue(const log_queue&) = delete;
  log_queue& operator=(const log_queue&) = delete;
  // Writes all pending lines first.
  ~log_queue();

  // Doesn't block on writing.
  void Push(std::string line);
  // Blocks until no line is pending or being written.
  void Flush();

 private:
  void Run();

  const writer write_;
  const std::size_t max_pending_lines_;
  std::mutex mutex_;
  std::condition_variable lines_available_;
  std::condition_variable lines_written_;
  std::vector<std::string> pending_lines_;
  std::uint64_t dropped_ = 0;
  bool is_writing_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_LOG_QUEUE_H_
