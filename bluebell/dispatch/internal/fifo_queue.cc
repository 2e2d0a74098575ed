#include "bluebell/dispatch/internal/fifo_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>

namespace bluebell {

fifo_queue::fifo_queue(std::uint32_t slots, const policy_values& values)
    : slots_(slots) {
  Configure(values, instant());
}

admission fifo_queue::Submit(const queued_request& request, instant /*now*/) {
  if (waiting_.size() >= queue_limit_) {
    return rejected{rejection_cause::kQueueFull,
                    std::chrono::ceil<milliseconds>(ExpectedWait())};
  }
  waiting_.push_back(request);
  return admitted{};
}

std::optional<queued_request> fifo_queue::StartNext(instant now) {
  if (in_flight_.size() >= slots_) {
    return std::nullopt;
  }
  const auto next = std::find_if(
      waiting_.begin(), waiting_.end(),
      [now](const queued_request& request) { return request.deadline > now; });
  if (next == waiting_.end()) {
    return std::nullopt;
  }
  queued_request chosen = *next;
  waiting_.erase(next);
  in_flight_.insert(chosen.id);
  return chosen;
}

std::vector<queued_request> fifo_queue::TakeExpired(instant now) {
  const auto first_expired = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [now](const queued_request& request) { return request.deadline > now; });
  std::vector<queued_request> expired(first_expired, waiting_.end());
  waiting_.erase(first_expired, waiting_.end());
  return expired;
}

bool fifo_queue::Withdraw(const request_id& id) {
  return std::erase_if(waiting_, [&id](const queued_request& request) {
           return request.id == id;
         }) > 0;
}

void fifo_queue::Finish(const request_id& id,
                        const completion& how,
                        instant /*now*/) {
  in_flight_.erase(id);
  if (const auto* done = std::get_if<completed>(&how)) {
    service_.Observe(rank::kNormal, done->service_time);
  }
}

void fifo_queue::Configure(const policy_values& values, instant /*now*/) {
  queue_limit_ = std::accumulate(values.queue_limit.begin(),
                                 values.queue_limit.end(), std::size_t{0});
}

queue_pressure fifo_queue::pressure(instant /*now*/) const {
  queue_pressure result;
  for (const queued_request& request : waiting_) {
    ++result.waiting[RankIndex(request.priority)];
  }
  result.expected_wait.fill(std::chrono::ceil<microseconds>(ExpectedWait()));
  result.in_flight = static_cast<std::uint32_t>(in_flight_.size());
  result.slots = slots_;
  result.service_time = std::chrono::ceil<microseconds>(service_.Overall());
  return result;
}

std::optional<instant> fifo_queue::next_wakeup(instant /*now*/) const {
  const auto earliest =
      std::min_element(waiting_.begin(), waiting_.end(),
                       [](const queued_request& a, const queued_request& b) {
                         return a.deadline < b.deadline;
                       });
  if (earliest == waiting_.end()) {
    return std::nullopt;
  }
  return earliest->deadline;
}

duration fifo_queue::ExpectedWait() const {
  if (waiting_.empty() && in_flight_.size() < slots_) {
    return duration(0);
  }
  return service_.Overall() * static_cast<std::int64_t>(waiting_.size() + 1) /
         slots_;
}

}  // namespace bluebell
