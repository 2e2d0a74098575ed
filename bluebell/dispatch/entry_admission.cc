#include "bluebell/dispatch/entry_admission.h"

#include <algorithm>
#include <chrono>

namespace bluebell {

namespace {

// Returns true if a probe is due at `now`, and sets the time of the next one.
bool TakeProbe(instant& probe_at, instant now) {
  if (now < probe_at) {
    return false;
  }
  probe_at = now + entry_admission::kProbeInterval;
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
  MakeRoom(view, now);
  const caller_rank key{request.caller, request.priority};
  caller_refusal& recorded = view.refused_callers[key];
  recorded.until = now + refusal.retry_after;
  recorded.budget = request.deadline - now;
  recorded.cause = refusal.cause;
  recorded.probe_at = now + kProbeInterval;
}

admission entry_admission::Check(const endpoint_instance& endpoint,
                                 const queued_request& request,
                                 instant now) {
  const duration budget = request.deadline - now;
  if (budget <= duration(0)) {
    return rejected{rejection_cause::kDeadlineExpired, milliseconds(0)};
  }
  const auto found = endpoints_.find(endpoint);
  if (found == endpoints_.end()) {
    return admitted{};
  }
  endpoint_view& view = found->second;
  const duration wait = WaitIn(view, request.priority, now);
  if (wait > budget &&
      !TakeProbe(view.probe_at[RankIndex(request.priority)], now)) {
    return rejected{rejection_cause::kWouldMissDeadline,
                    std::chrono::ceil<milliseconds>(wait)};
  }
  const auto refused =
      view.refused_callers.find({request.caller, request.priority});
  if (refused == view.refused_callers.end()) {
    return admitted{};
  }
  caller_refusal& refusal = refused->second;
  if (now >= refusal.until) {
    view.refused_callers.erase(refused);
    return admitted{};
  }
  if (budget > refusal.budget || TakeProbe(refusal.probe_at, now)) {
    return admitted{};
  }
  return rejected{refusal.cause,
                  std::chrono::ceil<milliseconds>(refusal.until - now)};
}

duration entry_admission::ExpectedWait(const endpoint_instance& endpoint,
                                       rank priority,
                                       instant now) const {
  const auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? duration(0)
                                   : WaitIn(found->second, priority, now);
}

void entry_admission::Remove(const endpoint_instance& endpoint) {
  endpoints_.erase(endpoint);
}

duration entry_admission::WaitIn(const endpoint_view& view,
                                 rank priority,
                                 instant now) {
  const duration wait = view.pressure.expected_wait[RankIndex(priority)];
  return std::max(duration(0), wait - (now - view.observed_at));
}

void entry_admission::MakeRoom(endpoint_view& view, instant now) {
  if (view.refused_callers.size() < kMaxCallers) {
    return;
  }
  std::erase_if(view.refused_callers,
                [now](const auto& entry) { return entry.second.until <= now; });
  if (view.refused_callers.size() >= kMaxCallers) {
    view.refused_callers.clear();
  }
}

}  // namespace bluebell
