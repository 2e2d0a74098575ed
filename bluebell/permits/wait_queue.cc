#include "bluebell/permits/wait_queue.h"

#include <algorithm>

namespace bluebell {

void wait_queue::Push(waiting_request request) {
  rank_queue& queue = rank_queues_[request.message.rank];
  const sequence number = ++last_sequence_;
  const permit_id id = request.message.id;
  queue.work += request.work;
  domain_work& waiting = queue.work_by_domain[request.message.domain];
  waiting.work += request.work;
  ++waiting.requests;
  queue.by_late_time.emplace(request.LateAt(), number);
  by_infeasible_time_.emplace(std::pair(request.InfeasibleAt(), number), id);
  positions_[id] = {request.message.rank, number};
  queue.on_time.emplace(number, std::move(request));
}

waiting_request wait_queue::Take(const queue_position& position) {
  rank_queue& queue = rank_queues_.at(position.rank);
  auto node = queue.on_time.extract(position.number);
  if (node) {
    queue.by_late_time.erase({node.mapped().LateAt(), position.number});
  } else {
    node = queue.late.extract(position.number);
    queue.late_work -= node.mapped().work;
  }
  waiting_request taken = std::move(node.mapped());
  queue.work -= taken.work;
  const auto waiting = queue.work_by_domain.find(taken.message.domain);
  waiting->second.work -= taken.work;
  // The work of a request may be zero, so the work alone doesn't tell that no
  // request is left.
  if (--waiting->second.requests == 0) {
    queue.work_by_domain.erase(waiting);
  }
  by_infeasible_time_.erase({taken.InfeasibleAt(), position.number});
  positions_.erase(taken.message.id);
  return taken;
}

bool wait_queue::Contains(const permit_id& id) const {
  return positions_.contains(id);
}

const wait_queue::requests_by_sequence& wait_queue::RequestsAt(
    const rank_queue& queue,
    sequence number) {
  return queue.on_time.contains(number) ? queue.on_time : queue.late;
}

const waiting_request* wait_queue::Find(const permit_id& id) const {
  const auto found = positions_.find(id);
  if (found == positions_.end()) {
    return nullptr;
  }
  const auto& [rank, number] = found->second;
  return &RequestsAt(rank_queues_.at(rank), number).at(number);
}

void wait_queue::SetDeadline(const permit_id& id, instant deadline) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) {
    return;
  }
  const auto& [rank, number] = found->second;
  rank_queue& queue = rank_queues_.at(rank);
  const auto on_time = queue.on_time.find(number);
  waiting_request& request =
      on_time != queue.on_time.end() ? on_time->second : queue.late.at(number);
  by_infeasible_time_.erase({request.InfeasibleAt(), number});
  request.deadline = deadline;
  by_infeasible_time_.emplace(std::pair(request.InfeasibleAt(), number), id);
}

bool wait_queue::Remove(const permit_id& id) {
  const auto found = positions_.find(id);
  if (found == positions_.end()) {
    return false;
  }
  Take(queue_position(found->second));
  return true;
}

void wait_queue::MoveLate(rank_queue& queue, instant now) {
  while (!queue.by_late_time.empty() &&
         queue.by_late_time.begin()->first < now) {
    auto node = queue.on_time.extract(queue.by_late_time.begin()->second);
    queue.late_work += node.mapped().work;
    queue.late.insert(std::move(node));
    queue.by_late_time.erase(queue.by_late_time.begin());
  }
}

std::optional<waiting_request> wait_queue::TakeNext(
    instant now,
    const std::function<bool(std::uint32_t rank)>& rank_may_start,
    const std::function<bool(const waiting_request&)>& is_eligible,
    const std::vector<std::string>& deferred_routes) {
  const auto is_next = [&](const auto& entry) {
    return is_eligible(entry.second);
  };
  const auto is_deferred = [&](const auto& entry) {
    return std::find(deferred_routes.begin(), deferred_routes.end(),
                     entry.second.message.route) != deferred_routes.end();
  };
  for (auto& [rank, queue] : rank_queues_) {
    if ((queue.on_time.empty() && queue.late.empty()) ||
        !rank_may_start(rank)) {
      continue;
    }
    MoveLate(queue, now);
    if (!deferred_routes.empty()) {
      const auto next = std::find_if(
          queue.on_time.begin(), queue.on_time.end(), [&](const auto& entry) {
            return !is_deferred(entry) && is_next(entry);
          });
      if (next != queue.on_time.end()) {
        return Take({rank, next->first});
      }
    }
    for (const requests_by_sequence* each : {&queue.on_time, &queue.late}) {
      const bool others_considered =
          each == &queue.on_time && !deferred_routes.empty();
      const auto next =
          std::find_if(each->begin(), each->end(), [&](const auto& entry) {
            return (!others_considered || is_deferred(entry)) && is_next(entry);
          });
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
  for (auto& [rank, queue] : rank_queues_) {
    queue.on_time.merge(queue.late);
    for (auto& [number, request] : queue.on_time) {
      all.push_back(std::move(request));
    }
  }
  rank_queues_.clear();
  positions_.clear();
  by_infeasible_time_.clear();
  return all;
}

std::vector<waiting_request> wait_queue::TakeInfeasible(instant now) {
  std::vector<waiting_request> hopeless;
  while (!by_infeasible_time_.empty() &&
         by_infeasible_time_.begin()->first.first <= now) {
    hopeless.push_back(Take(
        queue_position(positions_.at(by_infeasible_time_.begin()->second))));
  }
  return hopeless;
}

std::optional<instant> wait_queue::NextInfeasible() const {
  return by_infeasible_time_.empty()
             ? std::nullopt
             : std::optional(by_infeasible_time_.begin()->first.first);
}

std::map<domain_name, std::map<std::uint32_t, duration>>
wait_queue::WorkByDomain() const {
  std::map<domain_name, std::map<std::uint32_t, duration>> work;
  for (const auto& [rank, queue] : rank_queues_) {
    for (const auto& [domain, waiting] : queue.work_by_domain) {
      work[domain][rank] = waiting.work;
    }
  }
  return work;
}

duration wait_queue::WorkBefore(std::uint32_t rank) const {
  duration work(0);
  for (const auto& [each, queue] : rank_queues_) {
    if (each <= rank) {
      work += queue.work;
    }
  }
  return work;
}

duration wait_queue::OnTimeWorkBefore(std::uint32_t rank) const {
  const auto own = rank_queues_.find(rank);
  const duration late =
      own == rank_queues_.end() ? duration(0) : own->second.late_work;
  return WorkBefore(rank) - late;
}

duration wait_queue::WorkBefore(const permit_id& id) const {
  const auto& [own_rank, number] = positions_.at(id);
  duration work(0);
  for (const auto& [rank, queue] : rank_queues_) {
    if (rank < own_rank) {
      work += queue.work;
    }
  }
  const rank_queue& own = rank_queues_.at(own_rank);
  const requests_by_sequence& same = RequestsAt(own, number);
  for (auto each = same.begin(); each->first < number; ++each) {
    work += each->second.work;
  }
  if (&same == &own.late) {
    for (const auto& [other, request] : own.on_time) {
      work += request.work;
    }
  }
  return work;
}

}  // namespace bluebell
