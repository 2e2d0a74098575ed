#include "bluebell/telemetry/internal/log_queue.h"

#include <utility>

#include "bluebell/telemetry/internal/log_line.h"

namespace bluebell::internal {

log_queue::log_queue(writer write, std::size_t max_pending_lines)
    : write_(std::move(write)),
      max_pending_lines_(max_pending_lines),
      thread_([this] { Run(); }) {}

log_queue::~log_queue() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  lines_available_.notify_one();
  thread_.join();
}

void log_queue::Push(std::string line) {
  bool was_idle = false;
  {
    const std::lock_guard lock(mutex_);
    if (pending_lines_.size() >= max_pending_lines_) {
      ++dropped_;
      return;
    }
    was_idle = pending_lines_.empty();
    pending_lines_.push_back(std::move(line));
  }
  if (was_idle) {
    lines_available_.notify_one();
  }
}

void log_queue::Flush() {
  std::unique_lock lock(mutex_);
  lines_written_.wait(
      lock, [this] { return pending_lines_.empty() && !is_writing_; });
}

void log_queue::Run() {
  std::vector<std::string> batch;
  std::unique_lock lock(mutex_);
  while (true) {
    lines_available_.wait(
        lock, [this] { return stopping_ || !pending_lines_.empty(); });
    if (pending_lines_.empty()) {
      return;
    }
    batch.swap(pending_lines_);
    const std::uint64_t dropped = std::exchange(dropped_, 0);
    is_writing_ = true;
    lock.unlock();
    for (const std::string& line : batch) {
      write_(line);
    }
    if (dropped > 0) {
      write_(DroppedLinesNotice(dropped));
    }
    batch.clear();
    lock.lock();
    is_writing_ = false;
    lines_written_.notify_all();
  }
}

}  // namespace bluebell::internal
