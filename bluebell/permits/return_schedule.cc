#include "bluebell/permits/return_schedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bluebell {

namespace {

// Shorter than the work of most requests, so that callers don't return in
// groups that wait for each other.
constexpr milliseconds kInterval{50};
// Time after a promised moment in which the capacity stays reserved: callers
// return late by the delay of their timers and of the network.
constexpr milliseconds kReturnTolerance{100};
constexpr milliseconds kExpiryCheckInterval{50};
// The deadlines that two attempts of a request state differ by the time that
// they travel. Short, because new requests of a route have nearly the same
// deadline as well.
constexpr milliseconds kAttemptDeadlineTolerance{20};
// Each rank leaves this part of the capacity to every more urgent one, down to
// a least share that it may use.
constexpr double kShareLeftToUrgentRank = 0.2;
constexpr double kMinRankShare = 0.4;
// The fractional parts of the multiples of this number (the golden ratio) are
// spread evenly, however many there are.
constexpr double kSpreadStep = 0.6180339887498949;

std::int64_t IntervalOf(instant at) {
  return at.time_since_epoch() / duration(kInterval);
}

instant EndOf(std::int64_t number) {
  return instant(duration(kInterval) * (number + 1));
}

}  // namespace

void return_schedule::AddRefused(const request_identity& identity,
                                 instant objective,
                                 instant now) {
  refused_.try_emplace(identity,
                       refused_request{now, objective, {}, {}, duration(0)});
}

std::optional<instant> return_schedule::Book(const promise_request& request) {
  const auto known = refused_.find(request.identity);
  if (known == refused_.end() || known->second.promised_at) {
    return std::nullopt;
  }
  const auto interval = FindInterval(request);
  if (!interval) {
    return std::nullopt;
  }
  const double fraction =
      std::fmod(static_cast<double>(++booked_count_) * kSpreadStep, 1.0);
  const instant begin =
      std::max(request.earliest, EndOf(*interval) - kInterval);
  const instant end = std::min(request.latest, EndOf(*interval));
  const instant at =
      begin + duration(static_cast<std::int64_t>(
                  fraction * static_cast<double>((end - begin).count())));
  known->second.promised_at = at;
  known->second.queue = request.queue;
  known->second.work = request.work;
  promised_capacity& promised =
      promised_by_queue_[request.queue][IntervalOf(at)];
  promised.work += request.work;
  ++promised.promises;
  return at;
}

std::optional<return_schedule::interval_number> return_schedule::FindInterval(
    const promise_request& request) const {
  const double share =
      std::max(kMinRankShare, 1 - kShareLeftToUrgentRank * request.rank);
  static const std::map<interval_number, promised_capacity> nothing_promised;
  const auto queue = promised_by_queue_.find(request.queue);
  const auto& promised =
      queue == promised_by_queue_.end() ? nothing_promised : queue->second;
  // Work may take longer than an interval and runs on into the next ones.
  // Therefore the work promised up to the end of an interval is compared with
  // the capacity up to then, for this interval and all later ones.
  std::optional<interval_number> chosen;
  duration work = request.work;
  for (interval_number i = IntervalOf(request.earliest);
       i <= IntervalOf(request.latest - duration(1)); ++i) {
    const auto known = promised.find(i);
    work += known == promised.end() ? duration(0) : known->second.work;
    const duration time = std::min(EndOf(i), request.latest) - request.earliest;
    const double room =
        static_cast<double>(time.count()) * request.slots * share;
    if (static_cast<double>(work.count()) > room) {
      chosen.reset();
    } else if (!chosen) {
      chosen = i;
    }
  }
  return chosen;
}

return_schedule::requests_by_identity::const_iterator
return_schedule::FindEntry(const request_identity& identity,
                           instant now) const {
  request_identity from = identity;
  from.deadline -= kAttemptDeadlineTolerance;
  auto nearest = refused_.end();
  for (auto each = refused_.lower_bound(from); each != refused_.end(); ++each) {
    const request_identity& known = each->first;
    if (known.route != identity.route || known.key != identity.key ||
        known.deadline > identity.deadline + kAttemptDeadlineTolerance) {
      break;
    }
    // A new request that arrives shortly after the refused one has nearly the
    // same deadline.
    const bool is_recent =
        now < each->second.refused_at + 2 * kAttemptDeadlineTolerance;
    if (!is_recent &&
        (nearest == refused_.end() ||
         std::chrono::abs(known.deadline - identity.deadline) <
             std::chrono::abs(nearest->first.deadline - identity.deadline))) {
      nearest = each;
    }
  }
  return nearest;
}

std::optional<return_schedule::refused_request> return_schedule::Find(
    const request_identity& identity,
    instant now) const {
  const auto entry = FindEntry(identity, now);
  return entry == refused_.end() ? std::nullopt : std::optional(entry->second);
}

void return_schedule::Remove(const request_identity& identity, instant now) {
  const auto entry = FindEntry(identity, now);
  if (entry != refused_.end()) {
    FreeCapacity(entry->second);
    refused_.erase(entry);
  }
}

void return_schedule::FreeCapacity(const refused_request& request) {
  if (!request.promised_at) {
    return;
  }
  const auto queue = promised_by_queue_.find(request.queue);
  const auto interval = queue->second.find(IntervalOf(*request.promised_at));
  interval->second.work -= request.work;
  --interval->second.promises;
  // The work of a request may be zero, so the work alone doesn't tell that no
  // promise is left.
  if (interval->second.promises == 0) {
    queue->second.erase(interval);
  }
  if (queue->second.empty()) {
    promised_by_queue_.erase(queue);
  }
}

std::uint64_t return_schedule::RemoveExpired(instant now) {
  if (now < next_expiry_check_) {
    return 0;
  }
  next_expiry_check_ = now + kExpiryCheckInterval;
  std::uint64_t removed = 0;
  for (auto each = refused_.begin(); each != refused_.end();) {
    refused_request& request = each->second;
    if (request.promised_at && *request.promised_at + kReturnTolerance < now) {
      FreeCapacity(request);
      request.promised_at.reset();
      ++removed;
    }
    if (each->first.deadline < now) {
      FreeCapacity(request);
      each = refused_.erase(each);
    } else {
      ++each;
    }
  }
  return removed;
}

duration return_schedule::PromisedWork(const endpoint_id& queue,
                                       instant until) const {
  const auto found = promised_by_queue_.find(queue);
  if (found == promised_by_queue_.end()) {
    return duration(0);
  }
  duration work(0);
  for (const auto& [number, promised] : found->second) {
    if (number > IntervalOf(until)) {
      break;
    }
    work += promised.work;
  }
  return work;
}

}  // namespace bluebell
