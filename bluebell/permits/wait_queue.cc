#include "bluebell/permits/wait_queue.h"

#include <algorithm>

namespace bluebell {

void wait_queue::Push(waiting_request request) {
  rank_line& line = lines_[request.ask.rank];
  const sequence number = ++last_;
  const permit_id id = request.ask.id;
  line.work += request.work;
  line.lateness.emplace(request.LateAt(), number);
  hopeless_.emplace(std::pair(request.HopelessAt(), number), id);
  places_[id] = {request.ask.rank, number};
  line.on_time.emplace(number, std::move(request));
}

waiting_request wait_queue::Take(const place& where) {
  rank_line& line = lines_.at(where.rank);
  auto node = line.on_time.extract(where.number);
  if (node) {
    line.lateness.erase({node.mapped().LateAt(), where.number});
  } else {
    node = line.late.extract(where.number);
  }
  waiting_request taken = std::move(node.mapped());
  line.work -= taken.work;
  hopeless_.erase({taken.HopelessAt(), where.number});
  places_.erase(taken.ask.id);
  return taken;
}

bool wait_queue::Contains(const permit_id& id) const {
  return places_.contains(id);
}

bool wait_queue::Remove(const permit_id& id) {
  const auto found = places_.find(id);
  if (found == places_.end()) {
    return false;
  }
  Take(place(found->second));
  return true;
}

void wait_queue::MoveLate(rank_line& line, instant now) {
  while (!line.lateness.empty() && line.lateness.begin()->first < now) {
    line.late.insert(line.on_time.extract(line.lateness.begin()->second));
    line.lateness.erase(line.lateness.begin());
  }
}

std::optional<waiting_request> wait_queue::TakeNext(
    instant now,
    const std::function<bool(std::uint32_t rank)>& may_start,
    const std::function<bool(const waiting_request&)>& suits) {
  const auto is_next = [&](const auto& entry) { return suits(entry.second); };
  for (auto& [rank, line] : lines_) {
    if ((line.on_time.empty() && line.late.empty()) || !may_start(rank)) {
      continue;
    }
    MoveLate(line, now);
    for (const request_line* each : {&line.on_time, &line.late}) {
      const auto next = std::find_if(each->begin(), each->end(), is_next);
      if (next != each->end()) {
        return Take({rank, next->first});
      }
    }
  }
  return std::nullopt;
}

std::vector<waiting_request> wait_queue::TakeAll() {
  std::vector<waiting_request> all;
  all.reserve(size());
  for (auto& [rank, line] : lines_) {
    line.on_time.merge(line.late);
    for (auto& [number, request] : line.on_time) {
      all.push_back(std::move(request));
    }
  }
  lines_.clear();
  places_.clear();
  hopeless_.clear();
  return all;
}

std::vector<waiting_request> wait_queue::TakeHopeless(instant now) {
  std::vector<waiting_request> hopeless;
  while (!hopeless_.empty() && hopeless_.begin()->first.first <= now) {
    hopeless.push_back(Take(place(places_.at(hopeless_.begin()->second))));
  }
  return hopeless;
}

std::optional<instant> wait_queue::NextHopeless() const {
  return hopeless_.empty() ? std::nullopt
                           : std::optional(hopeless_.begin()->first.first);
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
