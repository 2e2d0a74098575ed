// Rejects requests at the entry daemon that the endpoint's dispatcher would
// reject, so that excess load isn't forwarded to the dispatcher.
//
// The decision uses the queue's latest reported pressure and the callers that
// the dispatcher has refused recently. Both lose effect with time, and one
// request is admitted as a probe in each interval, so that the recovery of an
// endpoint is noticed even without a report.
//
//   entry_admission entry;
//   entry.ObservePressure(instance, pressure, now);
//   admission verdict = entry.Check(instance, request, now);

#ifndef BLUEBELL_DISPATCH_ENTRY_ADMISSION_H_
#define BLUEBELL_DISPATCH_ENTRY_ADMISSION_H_

#include <array>
#include <compare>
#include <cstddef>
#include <map>

#include "bluebell/core/ids.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/admission.h"
#include "bluebell/dispatch/queue_pressure.h"
#include "bluebell/dispatch/queued_request.h"

namespace bluebell {

class entry_admission {
 public:
  // Records a report of the load at `endpoint`.
  void ObservePressure(const endpoint_instance& endpoint,
                       const queue_pressure& pressure,
                       instant now);

  // The dispatcher refused `request`. Until the time in the refusal has passed,
  // requests of the same caller and rank that don't have more time to their
  // deadline are rejected here.
  void ObserveRefusal(const endpoint_instance& endpoint,
                      const queued_request& request,
                      const rejected& refusal,
                      instant now);

  // Whether to forward `request`. If a probe is due, `request` is admitted as
  // the probe.
  admission Check(const endpoint_instance& endpoint,
                  const queued_request& request,
                  instant now);

  // The wait that was reported last, less the time since then; not below zero.
  // Zero if there is no report.
  duration ExpectedWait(const endpoint_instance& endpoint,
                        rank priority,
                        instant now) const;

  // Removes the records of an endpoint that has left.
  void Remove(const endpoint_instance& endpoint);

  // In this time at most one probe for each endpoint and rank, and one for each
  // refused caller, is admitted. A probe that the dispatcher refuses costs a
  // hop but no slot time; 11 entry daemons send it 22 probes a second for each
  // rank.
  static constexpr milliseconds kProbeInterval{500};

  // Limit of the recorded refusals of callers for each endpoint.
  static constexpr std::size_t kMaxRefusedCallers = 1'000;

 private:
  struct caller_rank {
    caller_name caller;
    rank priority = rank::kNormal;

    friend auto operator<=>(const caller_rank&, const caller_rank&) = default;
  };

  // A refusal by the dispatcher: when it ends, how much time the refused
  // request had to its deadline, and when the next probe is due.
  struct caller_refusal {
    instant expires_at;
    duration time_to_deadline{0};
    rejection_cause cause = rejection_cause::kWouldMissDeadline;
    instant next_probe_at;
  };

  struct endpoint_view {
    queue_pressure pressure;
    instant observed_at;
    std::array<instant, kRanks.size()> next_probe_at = {};
    std::map<caller_rank, caller_refusal> refused_callers;
  };

  static duration RemainingWait(const endpoint_view& view,
                                rank priority,
                                instant now);
  // If the limit is reached, removes expired refusals, and all refusals if that
  // isn't enough.
  static void LimitRefusals(endpoint_view& view, instant now);

  std::map<endpoint_instance, endpoint_view> endpoints_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_ENTRY_ADMISSION_H_
