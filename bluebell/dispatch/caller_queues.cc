#include "bluebell/dispatch/caller_queues.h"

#include <algorithm>
#include <utility>

namespace bluebell {

void caller_queues::Push(const queued_request& request, instant latest_start) {
  const auto [where, is_new] = callers_.try_emplace(request.caller);
  if (!is_new) {
    Dequeue(*where);
  }
  caller_state& caller = where->second;
  if (caller.waiting.empty()) {
    caller.tag = std::max(caller.tag, now_);
  }
  const std::uint64_t arrival = arrivals_++;
  caller.waiting.emplace(arrival, waiting_request{request, latest_start});
  by_latest_start_.insert({latest_start, arrival, request.caller});
  Enqueue(*where);
}

std::optional<queued_request> caller_queues::Pop(duration expected_cost) {
  if (active_.empty()) {
    return std::nullopt;
  }
  const turn next = *active_.begin();
  const auto where = callers_.find(next.caller);
  // While each active caller is served once, virtual time passes by one cost.
  // If it only followed the tags, an endless stream of new callers would stop
  // it and starve the others.
  now_ = std::max(now_, next.tag) +
         expected_cost / static_cast<std::int64_t>(active_.size());
  queued_request taken = TakeAt(where, next.arrival);
  Correct(next.caller, expected_cost);
  return taken;
}

void caller_queues::Correct(const caller_name& caller, duration difference) {
  const auto [where, is_new] = callers_.try_emplace(caller);
  if (is_new) {
    where->second.tag = now_;
  } else {
    Dequeue(*where);
  }
  where->second.tag += difference;
  Enqueue(*where);
  ForgetIdle();
}

bool caller_queues::Remove(const request_id& id) {
  for (auto where = callers_.begin(); where != callers_.end(); ++where) {
    for (const auto& [arrival, entry] : where->second.waiting) {
      if (entry.request.id == id) {
        TakeAt(where, arrival);
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
    const expiry first = *by_latest_start_.begin();
    expired.push_back(TakeAt(callers_.find(first.caller), first.arrival));
  }
  return expired;
}

std::size_t caller_queues::WaitingOf(const caller_name& caller) const {
  const auto found = callers_.find(caller);
  return found == callers_.end() ? 0 : found->second.waiting.size();
}

// Between two requests of this caller, each other caller gets about one.
std::size_t caller_queues::CountAhead(const caller_name& caller) const {
  const std::size_t own = WaitingOf(caller);
  std::size_t ahead = own;
  for (const turn& other : active_) {
    if (other.caller != caller) {
      ahead += std::min(WaitingOf(other.caller), own + 1);
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

caller_queues::turn caller_queues::TurnOf(
    const caller_map::value_type& caller) {
  const auto& waiting = caller.second.waiting;
  const std::uint64_t arrival = waiting.empty() ? 0 : waiting.begin()->first;
  return {caller.second.tag, arrival, caller.first};
}

void caller_queues::Enqueue(const caller_map::value_type& caller) {
  auto& turns = caller.second.waiting.empty() ? idle_ : active_;
  turns.insert(TurnOf(caller));
}

void caller_queues::Dequeue(const caller_map::value_type& caller) {
  auto& turns = caller.second.waiting.empty() ? idle_ : active_;
  turns.erase(TurnOf(caller));
}

queued_request caller_queues::TakeAt(caller_map::iterator caller,
                                     std::uint64_t arrival) {
  Dequeue(*caller);
  auto taken = caller->second.waiting.extract(arrival);
  by_latest_start_.erase({taken.mapped().latest_start, arrival, caller->first});
  Enqueue(*caller);
  return std::move(taken.mapped().request);
}

// A caller without requests whose tag isn't ahead of the others would start
// like a new one.
void caller_queues::ForgetIdle() {
  while (!idle_.empty() && idle_.begin()->tag <= now_) {
    callers_.erase(idle_.begin()->caller);
    idle_.erase(idle_.begin());
  }
}

}  // namespace bluebell
