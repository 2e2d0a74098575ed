#include "bluebell/permits/admission_control.h"

#include <algorithm>
#include <chrono>

#include "bluebell/core/time_scale.h"

namespace bluebell {

namespace {

// The time constant of the average of new work. Callers honour promises of less
// than a third of their deadline, which is about a second.
constexpr std::chrono::duration<double> kDemandAveragingTime{1};
// The part of the capacity that may be promised however much new work arrives,
// so that refused callers can return during a long peak, too. It is small
// because a late answer to one of them takes the capacity of an answer within
// the objective.
constexpr double kMinPromisedShare = 0.1;
// Callers honour a retry time of up to this part of the time that they have
// left.
constexpr int kHonouredDivisor = 3;
constexpr milliseconds kMinRetryAfter{60};
// A caller that returns this much too early is served as one that returns at
// its time: timers and clocks differ by some milliseconds.
constexpr milliseconds kEarlyTolerance{10};
// Most requests of a route take no longer than this multiple of the mean.
constexpr double kOnTimeWorkFactor = 1.5;
// In an overloaded queue all requests wait nearly as long as they may, so that
// those whose work is longer than the multiple are late. Among requests of
// similar work with a deviation of half of the mean, one in twenty is.
constexpr double kOverloadedWorkFactor = 2;

// The longest wait with which the request will probably be answered within the
// objective; negative if there is none.
duration AllowedWait(const admission_control::arrival& request,
                     instant objective,
                     double work_factor,
                     instant now) {
  return objective - now - Scale(request.response_time, work_factor);
}

}  // namespace

admission_verdict admission_control::Decide(const arrival& request,
                                            const forecast& expected,
                                            instant now) {
  counts_.expired += schedule_.RemoveExpired(now);
  const auto earlier = schedule_.Find(request.identity, now);
  const bool is_promised = earlier && earlier->promised_at;
  const duration time_left =
      request.identity.deadline - now - request.response_time;
  if (is_promised && *earlier->promised_at <= now + kEarlyTolerance &&
      expected.wait <= time_left) {
    schedule_.Remove(request.identity, now);
    ++counts_.kept;
    // With its earlier objective it would wait behind new requests.
    return admitted{request.objective, kOnTimeWorkFactor};
  }
  const duration wait = WithPromises(request, expected.wait, expected, now);
  queue_overload& overload = overload_[{request.queue, request.rank}];
  if (!earlier) {
    demand_[request.queue].Add(request.work, kDemandAveragingTime, now);
    overload.Record(
        wait, AllowedWait(request, request.objective, kOnTimeWorkFactor, now),
        now);
  }
  const instant objective =
      earlier ? std::min(request.objective, earlier->objective)
              : request.objective;
  const double factor =
      overload.IsOverloaded(now) ? kOverloadedWorkFactor : kOnTimeWorkFactor;
  const duration late_wait =
      WithPromises(request, expected.late_wait, expected, now);
  // Late requests in the queue don't delay one that can meet its objective.
  if (wait <= AllowedWait(request, objective, factor, now) ||
      late_wait <= time_left) {
    schedule_.Remove(request.identity, now);
    return admitted{objective, factor};
  }
  if (is_promised && *earlier->promised_at > now) {
    ++counts_.refused_again;
    return refused_until{*earlier->promised_at - now, true};
  }
  return Refuse(request, late_wait, expected.capacity, now);
}

refused_until admission_control::Refuse(const arrival& request,
                                        duration wait,
                                        double capacity,
                                        instant now) {
  schedule_.AddRefused(request.identity, request.objective, now);
  promise_request wanted;
  wanted.identity = request.identity;
  wanted.queue = request.queue;
  wanted.rank = request.rank;
  wanted.work = request.work;
  const double demand =
      demand_[request.queue].SlotsAt(kDemandAveragingTime, now);
  wanted.slots = std::max(kMinPromisedShare * capacity, capacity - demand);
  // By then the requests that run now have freed their slots.
  wanted.earliest =
      now + std::max<duration>(kMinRetryAfter, request.response_time);
  wanted.latest = now + (request.identity.deadline - now) / kHonouredDivisor;
  if (const auto at = schedule_.Book(wanted)) {
    ++counts_.promised;
    return {*at - now, true};
  }
  ++counts_.unpromised;
  return {std::max<duration>(wait, kMinRetryAfter), false};
}

duration admission_control::WithPromises(const arrival& request,
                                         duration wait,
                                         const forecast& expected,
                                         instant now) const {
  // Work that is promised until the request would start goes before it.
  const duration promised = schedule_.PromisedWork(request.queue, now + wait);
  return expected.capacity <= 0 ? wait
                                : wait + Scale(promised, 1 / expected.capacity);
}

void admission_control::ForgetQueues(
    const std::function<bool(const endpoint_id& queue)>& exists) {
  std::erase_if(overload_,
                [&](const auto& entry) { return !exists(entry.first.first); });
  std::erase_if(demand_,
                [&](const auto& entry) { return !exists(entry.first); });
}

}  // namespace bluebell
