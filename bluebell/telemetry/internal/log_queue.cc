#include "bluebell/telemetry/internal/log_queue.h"

#include <utility>

#include "bluebell/telemetry/internal/log_line.h"

namespace bluebell::internal {

log_queue::log_queue(writer write, std::size_t max_waiting)
    : write_(std::move(write)),
      max_waiting_(max_waiting),
      thread_([this] { Run(); }) {}

log_queue::~log_queue() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  filled_.notify_one();
  thread_.join();
}

void log_queue::Push(std::string line) {
  bool was_idle = false;
  {
    const std::lock_guard lock(mutex_);
    if (waiting_.size() >= max_waiting_) {
      ++dropped_;
      return;
    }
    was_idle = waiting_.empty();
    waiting_.push_back(std::move(line));
  }
  if (was_idle) {
    filled_.notify_one();
  }
}

void log_queue::Flush() {
  std::unique_lock lock(mutex_);
  emptied_.wait(lock, [this] { return waiting_.empty() && !writing_; });
}

void log_queue::Run() {
  std::vector<std::string> batch;
  std::unique_lock lock(mutex_);
  while (true) {
    filled_.wait(lock, [this] { return stopping_ || !waiting_.empty(); });
    if (waiting_.empty()) {
      return;
    }
    batch.swap(waiting_);
    const std::uint64_t dropped = std::exchange(dropped_, 0);
    writing_ = true;
    lock.unlock();
    for (const std::string& line : batch) {
      write_(line);
    }
    if (dropped > 0) {
      write_(DroppedLinesNotice(dropped));
    }
    batch.clear();
    lock.lock();
    writing_ = false;
    emptied_.notify_all();
  }
}

}  // namespace bluebell::internal
