#include "bluebell/dispatch/entry_admission.h"

#include <algorithm>
#include <chrono>

namespace bluebell {

namespace {

// Returns true if a probe is due at `now`, and sets the time of the next one.
bool TakeProbe(instant& next_probe_at, instant now) {
  if (now < next_probe_at) {
    return false;
  }
  next_probe_at = now + entry_admission::kProbeInterval;
  return true;
}

}  // namespace

void entry_admission::ObservePressure(const endpoint_instance& endpoint,
                                      const queue_pressure& pressure,
                                      instant now) {
  endpoint_view& view = endpoints_[endpoint];
  view.pressure = pressure;
  view.observed_at = now;
}

void entry_admission::ObserveRefusal(const endpoint_instance& endpoint,
                                     const queued_request& request,
                                     const rejected& refusal,
                                     instant now) {
  if (refusal.cause == rejection_cause::kDeadlineExpired) {
    return;
  }
  endpoint_view& view = endpoints_[endpoint];
  LimitRefusals(view, now);
  const caller_rank key{request.caller, request.priority};
  caller_refusal& recorded = view.refused_callers[key];
  recorded.expires_at = now + refusal.retry_after;
  recorded.time_to_deadline = request.deadline - now;
  recorded.cause = refusal.cause;
  recorded.next_probe_at = now + kProbeInterval;
}

admission entry_admission::Check(const endpoint_instance& endpoint,
                                 const queued_request& request,
                                 instant now) {
  const duration time_to_deadline = request.deadline - now;
  if (time_to_deadline <= duration(0)) {
    return rejected{rejection_cause::kDeadlineExpired, milliseconds(0)};
  }
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return admitted{};
  }
  endpoint_view& view = found->second;
  const duration wait = RemainingWait(view, request.priority, now);
  if (wait > time_to_deadline &&
      !TakeProbe(view.next_probe_at[RankIndex(request.priority)], now)) {
    return rejected{rejection_cause::kWouldMissDeadline,
                    std::chrono::ceil<milliseconds>(wait)};
  }
  const auto refused =
      view.refused_callers.find({request.caller, request.priority});
  if (refused == view.refused_callers.end()) {
    return admitted{};
  }
  caller_refusal& refusal = refused->second;
  if (now >= refusal.expires_at) {
    view.refused_callers.erase(refused);
    return admitted{};
  }
  if (time_to_deadline > refusal.time_to_deadline ||
      TakeProbe(refusal.next_probe_at, now)) {
    return admitted{};
  }
  return rejected{refusal.cause,
                  std::chrono::ceil<milliseconds>(refusal.expires_at - now)};
}

duration entry_admission::ExpectedWait(const endpoint_instance& endpoint,
                                       rank priority,
                                       instant now) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end()
             ? duration(0)
             : RemainingWait(found->second, priority, now);
}

void entry_admission::Remove(const endpoint_instance& endpoint) {
  endpoints_.erase(endpoint);
}

duration entry_admission::RemainingWait(const endpoint_view& view,
                                        rank priority,
                                        instant now) {
  const duration wait = view.pressure.expected_wait[RankIndex(priority)];
  return std::max(duration(0), wait - (now - view.observed_at));
}

void entry_admission::LimitRefusals(endpoint_view& view, instant now) {
  if (view.refused_callers.size() < kMaxRefusedCallers) {
    return;
  }
  std::erase_if(view.refused_callers, [now](const auto& entry) {
    return entry.second.expires_at <= now;
  });
  if (view.refused_callers.size() >= kMaxRefusedCallers) {
    view.refused_callers.clear();
  }
}

}  // namespace bluebell
