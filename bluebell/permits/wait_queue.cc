#include "bluebell/permits/wait_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace bluebell {

void wait_queue::Push(waiting_request request) {
  rank_line& line = lines_[request.ask.rank];
  line.work += request.work;
  line.requests.push_back(std::move(request));
  ++size_;
}

waiting_request wait_queue::Take(rank_line& line,
                                 std::list<waiting_request>::iterator which) {
  waiting_request taken = std::move(*which);
  line.requests.erase(which);
  line.work -= taken.work;
  --size_;
  return taken;
}

bool wait_queue::Contains(const permit_id& id) const {
  return std::any_of(lines_.begin(), lines_.end(), [&](const auto& entry) {
    const auto& requests = entry.second.requests;
    return std::any_of(
        requests.begin(), requests.end(),
        [&](const waiting_request& each) { return each.ask.id == id; });
  });
}

bool wait_queue::Remove(const permit_id& id) {
  for (auto& [rank, line] : lines_) {
    const auto found = std::find_if(
        line.requests.begin(), line.requests.end(),
        [&](const waiting_request& each) { return each.ask.id == id; });
    if (found != line.requests.end()) {
      Take(line, found);
      return true;
    }
  }
  return false;
}

std::optional<waiting_request> wait_queue::TakeNext(
    instant now,
    const std::function<bool(const waiting_request&)>& suits) {
  for (auto& [rank, line] : lines_) {
    auto late = line.requests.end();
    for (auto each = line.requests.begin(); each != line.requests.end();
         ++each) {
      const bool on_time = each->IsOnTime(now);
      if (!on_time && late != line.requests.end()) {
        continue;
      }
      if (!suits(*each)) {
        continue;
      }
      if (on_time) {
        return Take(line, each);
      }
      late = each;
    }
    if (late != line.requests.end()) {
      return Take(line, late);
    }
  }
  return std::nullopt;
}

std::vector<waiting_request> wait_queue::TakeAll() {
  std::vector<waiting_request> all;
  for (auto& [rank, line] : lines_) {
    std::move(line.requests.begin(), line.requests.end(),
              std::back_inserter(all));
  }
  lines_.clear();
  size_ = 0;
  return all;
}

std::vector<waiting_request> wait_queue::TakeHopeless(instant now) {
  std::vector<waiting_request> hopeless;
  for (auto& [rank, line] : lines_) {
    for (auto each = line.requests.begin(); each != line.requests.end();) {
      const auto next = std::next(each);
      if (each->HopelessAt() <= now) {
        hopeless.push_back(Take(line, each));
      }
      each = next;
    }
  }
  return hopeless;
}

std::optional<instant> wait_queue::NextHopeless() const {
  std::optional<instant> next;
  for (const auto& [rank, line] : lines_) {
    for (const waiting_request& each : line.requests) {
      next = next ? std::min(*next, each.HopelessAt()) : each.HopelessAt();
    }
  }
  return next;
}

duration wait_queue::WorkBefore(std::uint32_t rank) const {
  duration work(0);
  for (const auto& [each, line] : lines_) {
    if (each <= rank) {
      work += line.work;
    }
  }
  return work;
}

}  // namespace bluebell
