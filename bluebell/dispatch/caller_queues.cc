#include "bluebell/dispatch/caller_queues.h"

#include <algorithm>
#include <utility>

namespace bluebell {

void caller_queues::Push(const queued_request& request, instant latest_start) {
  const auto [entry, is_new] = callers_.try_emplace(request.caller);
  if (!is_new) {
    Dequeue(*entry);
  }
  caller_state& state = entry->second;
  if (state.waiting.empty()) {
    state.start_tag = std::max(state.start_tag, virtual_now_);
  }
  const std::uint64_t arrival = arrivals_++;
  state.waiting.emplace(arrival, waiting_request{request, latest_start});
  by_latest_start_.insert({latest_start, arrival, request.caller});
  Enqueue(*entry);
}

std::optional<queued_request> caller_queues::Pop(duration expected_cost) {
  if (active_.empty()) {
    return std::nullopt;
  }
  const service_position next = *active_.begin();
  const auto caller = callers_.find(next.caller);
  // Virtual time advances by one cost while each active caller is served once.
  // If it followed only the start tags, a continuous stream of new callers
  // would stop it and starve the other callers.
  virtual_now_ = std::max(virtual_now_, next.start_tag) +
                 expected_cost / static_cast<std::int64_t>(active_.size());
  queued_request taken = TakeRequest(caller, next.arrival);
  Correct(next.caller, expected_cost);
  return taken;
}

void caller_queues::Correct(const caller_name& caller, duration difference) {
  const auto [entry, is_new] = callers_.try_emplace(caller);
  if (is_new) {
    entry->second.start_tag = virtual_now_;
  } else {
    Dequeue(*entry);
  }
  entry->second.start_tag += difference;
  Enqueue(*entry);
  RemoveIdleCallers();
}

bool caller_queues::Remove(const request_id& id) {
  for (auto caller = callers_.begin(); caller != callers_.end(); ++caller) {
    for (const auto& [arrival, waiting] : caller->second.waiting) {
      if (waiting.request.id == id) {
        TakeRequest(caller, arrival);
        return true;
      }
    }
  }
  return false;
}

std::vector<queued_request> caller_queues::TakeExpired(instant now) {
  std::vector<queued_request> expired;
  while (!by_latest_start_.empty() &&
         by_latest_start_.begin()->latest_start < now) {
    const expiry earliest = *by_latest_start_.begin();
    expired.push_back(
        TakeRequest(callers_.find(earliest.caller), earliest.arrival));
  }
  return expired;
}

std::size_t caller_queues::WaitingOf(const caller_name& caller) const {
  const auto found = callers_.find(caller);
  return found == callers_.end() ? 0 : found->second.waiting.size();
}

// About one request of each other caller is served between two of this caller.
std::size_t caller_queues::CountAhead(const caller_name& caller) const {
  const std::size_t own_count = WaitingOf(caller);
  std::size_t ahead = own_count;
  for (const service_position& other : active_) {
    if (other.caller != caller) {
      ahead += std::min(WaitingOf(other.caller), own_count + 1);
    }
  }
  return ahead;
}

std::optional<instant> caller_queues::next_expiry() const {
  if (by_latest_start_.empty()) {
    return std::nullopt;
  }
  return by_latest_start_.begin()->latest_start + duration(1);
}

caller_queues::service_position caller_queues::ServicePositionOf(
    const caller_map::value_type& caller) {
  const auto& waiting = caller.second.waiting;
  const std::uint64_t arrival = waiting.empty() ? 0 : waiting.begin()->first;
  return {caller.second.start_tag, arrival, caller.first};
}

void caller_queues::Enqueue(const caller_map::value_type& caller) {
  auto& turns = caller.second.waiting.empty() ? idle_ : active_;
  turns.insert(ServicePositionOf(caller));
}

void caller_queues::Dequeue(const caller_map::value_type& caller) {
  auto& turns = caller.second.waiting.empty() ? idle_ : active_;
  turns.erase(ServicePositionOf(caller));
}

queued_request caller_queues::TakeRequest(caller_map::iterator caller,
                                          std::uint64_t arrival) {
  Dequeue(*caller);
  auto taken = caller->second.waiting.extract(arrival);
  by_latest_start_.erase({taken.mapped().latest_start, arrival, caller->first});
  Enqueue(*caller);
  return std::move(taken.mapped().request);
}

// A caller without requests whose start tag has been reached by the virtual
// time would start like a new caller, so its state isn't needed.
void caller_queues::RemoveIdleCallers() {
  while (!idle_.empty() && idle_.begin()->start_tag <= virtual_now_) {
    callers_.erase(idle_.begin()->caller);
    idle_.erase(idle_.begin());
  }
}

}  // namespace bluebell
