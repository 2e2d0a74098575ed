// Refuses at the entry daemon what an endpoint's dispatcher would refuse, so
// that excess load costs no hop.
//
// It knows the queue's last reported pressure, and which callers the dispatcher
// has refused. Both age, and a probe passes now and then, so that an endpoint
// that is better again is noticed even if nothing reports it.
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
  void ObservePressure(const endpoint_instance& endpoint,
                       const queue_pressure& pressure,
                       instant now);

  // The dispatcher refused `request`. Requests of the same caller and rank with
  // no larger budget are refused here until the hint has passed.
  void ObserveRefusal(const endpoint_instance& endpoint,
                      const queued_request& request,
                      const rejected& refusal,
                      instant now);

  // Whether to forward `request`. Takes the probe if it is due.
  admission Check(const endpoint_instance& endpoint,
                  const queued_request& request,
                  instant now);

  // The wait that was last reported less the time since then. Zero if nothing
  // is known.
  duration ExpectedWait(const endpoint_instance& endpoint,
                        rank priority,
                        instant now) const;

  // Forgets an endpoint that left.
  void Remove(const endpoint_instance& endpoint);

  // At most one probe for each endpoint and rank, and one for each refused
  // caller, in this time. A probe that the dispatcher refuses costs a hop and
  // no slot time; 11 entry daemons send it 22 a second for a rank.
  static constexpr milliseconds kProbeInterval{500};

  // Refused callers that are remembered for each endpoint.
  static constexpr std::size_t kMaxCallers = 1'000;

 private:
  struct caller_rank {
    caller_name caller;
    rank priority = rank::kNormal;

    friend auto operator<=>(const caller_rank&, const caller_rank&) = default;
  };

  struct caller_refusal {
    instant until;
    duration budget{0};
    rejection_cause cause = rejection_cause::kWouldMissDeadline;
    instant probe_at;
  };

  struct endpoint_view {
    queue_pressure pressure;
    instant observed_at;
    std::array<instant, kRanks.size()> probe_at = {};
    std::map<caller_rank, caller_refusal> refused_callers;
  };

  static duration WaitIn(const endpoint_view& view, rank priority, instant now);
  static void MakeRoom(endpoint_view& view, instant now);

  std::map<endpoint_instance, endpoint_view> endpoints_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_ENTRY_ADMISSION_H_
