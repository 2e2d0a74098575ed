// Lines on their way from the threads that log to the file.
//
//   log_queue queue("", kMaxWaitingLines);
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

// A thread of its own writes the lines, so that a slow reader of the log never
// holds up the threads that log. All functions may be called from any thread.
class log_queue {
 public:
  using writer = std::function<void(const std::string& line)>;

  // `write` is called on the queue's thread. At most `max_waiting` lines wait;
  // further ones are dropped and counted.
  log_queue(writer write, std::size_t max_waiting);
  log_queue(const log_queue&) = delete;
  log_queue& operator=(const log_queue&) = delete;
  // Writes the lines that wait.
  ~log_queue();

  void Push(std::string line);
  // Waits until the lines pushed so far are written.
  void Flush();

 private:
  void Run();

  const writer write_;
  const std::size_t max_waiting_;
  std::mutex mutex_;
  std::condition_variable filled_;
  std::condition_variable emptied_;
  std::vector<std::string> waiting_;
  std::uint64_t dropped_ = 0;
  bool writing_ = false;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_LOG_QUEUE_H_
