#include "bluebell/dispatch/internal/ranked_queue.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace bluebell {

namespace {

// A request should have at least the time to its deadline divided by this
// number left when it starts. Under overload the error of estimated waits is
// about as large.
constexpr int kMinRemainingTimeDivisor = 5;

}  // namespace

ranked_queue::ranked_queue(std::uint32_t slots,
                           const policy_values& values,
                           const ranked_policy& policy,
                           instant now)
    : slots_(slots),
      values_(values),
      policy_(policy),
      shares_(values.share_percent, slots),
      usage_(now),
      limit_(slots, values.warm_up, now) {}

admission ranked_queue::Submit(const queued_request& request, instant now) {
  caller_queues& queue = waiting_[RankIndex(request.priority)];
  const std::size_t ahead = queue.CountAhead(request.caller);
  const duration wait = ExpectedWait(request.priority, ahead, now);
  const auto retry_after = std::chrono::ceil<milliseconds>(
      std::max(wait, service_.For(request.priority)));
  if (queue.size() >= values_.queue_limit[RankIndex(request.priority)]) {
    return rejected{rejection_cause::kQueueFull, retry_after};
  }
  if (queue.WaitingOf(request.caller) >= CallerLimit(request.priority)) {
    return rejected{rejection_cause::kCallerOverShare, retry_after};
  }
  if (wait > duration(0) &&
      now + wait + AdmissionMargin(request, now) > request.deadline) {
    return rejected{rejection_cause::kWouldMissDeadline, retry_after};
  }
  queue.Push(request, LatestStart(request, now));
  return admitted{};
}

std::optional<queued_request> ranked_queue::StartNext(instant now) {
  if (started_.size() >= limit_.Current(now) || now < limit_.paused_until()) {
    return std::nullopt;
  }
  CollectExpired(now);
  const rank_flags waiting = Waiting();
  const std::optional<rank> chosen = shares_.Pick(waiting);
  if (!chosen || !MayStart(*chosen, now)) {
    return std::nullopt;
  }
  const duration cost = service_.For(*chosen);
  queued_request next = *waiting_[RankIndex(*chosen)].Pop(cost);
  shares_.Charge(*chosen, cost, waiting);
  usage_.Add(*chosen, cost, now);
  started_.emplace(next.id, started_request{next, cost, now});
  return next;
}

std::vector<queued_request> ranked_queue::TakeExpired(instant now) {
  CollectExpired(now);
  return std::exchange(expired_, {});
}

bool ranked_queue::Withdraw(const request_id& id) {
  const bool was_expired = std::erase_if(expired_, [&id](const auto& request) {
                             return request.id == id;
                           }) > 0;
  return was_expired ||
         std::any_of(waiting_.begin(), waiting_.end(),
                     [&id](caller_queues& queue) { return queue.Remove(id); });
}

void ranked_queue::Finish(const request_id& id,
                          const completion& how,
                          instant now) {
  const auto found = started_.find(id);
  if (found == started_.end()) {
    return;
  }
  const started_request ended = found->second;
  const bool at_limit = started_.size() >= limit_.Current(now);
  started_.erase(found);
  const rank priority = ended.request.priority;
  if (const auto* done = std::get_if<completed>(&how)) {
    service_.Observe(priority, done->service_time);
    limit_.OnCompleted(priority, done->service_time, at_limit, now);
  } else if (std::holds_alternative<shed>(how)) {
    limit_.OnShed(static_cast<std::uint32_t>(started_.size()), now);
  }
  const duration difference = (now - ended.started_at) - ended.charged;
  shares_.Correct(priority, difference);
  waiting_[RankIndex(priority)].Correct(ended.request.caller, difference);
}

void ranked_queue::Configure(const policy_values& values, instant /*now*/) {
  if (values.share_percent != values_.share_percent) {
    shares_ = rank_shares(values.share_percent, slots_);
  }
  limit_.Configure(values.warm_up);
  values_ = values;
}

queue_pressure ranked_queue::pressure(instant now) const {
  queue_pressure result;
  const caller_name new_caller;
  for (const rank value : kRanks) {
    const std::size_t index = RankIndex(value);
    const std::size_t ahead = waiting_[index].CountAhead(new_caller);
    result.waiting[index] = static_cast<std::uint32_t>(waiting_[index].size());
    result.expected_wait[index] =
        std::chrono::ceil<microseconds>(ExpectedWait(value, ahead, now));
  }
  result.in_flight = static_cast<std::uint32_t>(started_.size());
  result.slots = limit_.Current(now);
  result.service_time = std::chrono::ceil<microseconds>(service_.Overall());
  return result;
}

std::optional<instant> ranked_queue::next_wakeup(instant now) const {
  if (!expired_.empty()) {
    return now;
  }
  std::optional<instant> next;
  for (const rank value : kRanks) {
    const auto expiry = waiting_[RankIndex(value)].next_expiry();
    if (expiry) {
      next = std::min(next.value_or(*expiry), *expiry);
    }
  }
  if (!next) {
    return std::nullopt;
  }
  if (now < limit_.paused_until()) {
    return std::min(*next, limit_.paused_until());
  }
  return std::min(*next, limit_.next_warm_up_step(now).value_or(*next));
}

rank_flags ranked_queue::Waiting() const {
  rank_flags flags = {};
  for (std::size_t i = 0; i < kRanks.size(); ++i) {
    flags[i] = !waiting_[i].empty();
  }
  return flags;
}

bool ranked_queue::MayStart(rank value, instant now) const {
  if (value == rank::kUrgent || policy_.reserved_slots == 0 ||
      shares_.IsOwed(value)) {
    return true;
  }
  const std::uint32_t limit = limit_.Current(now);
  return started_.size() + std::min(policy_.reserved_slots, limit - 1) < limit;
}

void ranked_queue::CollectExpired(instant now) {
  for (caller_queues& queue : waiting_) {
    std::vector<queued_request> expired = queue.TakeExpired(now);
    std::move(expired.begin(), expired.end(), std::back_inserter(expired_));
  }
}

// A request that can't end before its deadline would only take slot time from
// other requests. But the estimated service time may be wrong, and only
// requests that start can correct it, so each request may wait for at least
// half of the time to its deadline.
instant ranked_queue::LatestStart(const queued_request& request,
                                  instant now) const {
  return request.deadline - std::min<duration>(service_.For(request.priority),
                                               (request.deadline - now) / 2);
}

duration ranked_queue::AdmissionMargin(const queued_request& request,
                                       instant now) const {
  const duration time_to_deadline = request.deadline - now;
  return std::clamp<duration>(2 * service_.For(request.priority),
                              time_to_deadline / kMinRemainingTimeDivisor,
                              time_to_deadline / 2);
}

// A caller may have as many waiting requests as the queue has room for more.
// One caller that floods the queue therefore fills at most half of it.
std::size_t ranked_queue::CallerLimit(rank value) const {
  const std::size_t limit = values_.queue_limit[RankIndex(value)];
  const std::size_t waiting = waiting_[RankIndex(value)].size();
  return std::max<std::size_t>(1, limit - std::min(limit, waiting));
}

duration ranked_queue::SlotTimeOf(rank value, std::size_t requests) const {
  return service_.For(value) * static_cast<std::int64_t>(requests);
}

duration ranked_queue::ExpectedWait(rank value,
                                    std::size_t ahead,
                                    instant now) const {
  const double limit = limit_.Current(now);
  const bool has_free_slot = static_cast<double>(started_.size()) < limit;
  duration work_ahead = SlotTimeOf(value, ahead);
  double free_share = 1;
  for (const rank other : kRanks) {
    const std::size_t waiting = waiting_[RankIndex(other)].size();
    if (other < value) {
      work_ahead += SlotTimeOf(other, waiting);
      free_share -= usage_.Of(other, now) / limit;
    } else if (other > value && waiting > 0) {
      free_share -= shares_.GuaranteedShare(other);
    }
  }
  if (has_free_slot && work_ahead == duration(0)) {
    return duration(0);
  }
  // If no slot is free, the request waits until one of the running requests
  // ends.
  const duration residual =
      has_free_slot ? duration(0)
                    : service_.Overall() / static_cast<std::int64_t>(limit);
  const auto wait_in_order = static_cast<double>(work_ahead.count()) /
                             (limit * std::max(free_share, 1e-3));
  const auto wait_by_guarantee =
      static_cast<double>(SlotTimeOf(value, ahead + 1).count()) /
      (limit * std::max(shares_.GuaranteedShare(value), 1e-3));
  return residual + duration(static_cast<duration::rep>(
                        std::min({wait_in_order, wait_by_guarantee, 1e17})));
}

}  // namespace bluebell
