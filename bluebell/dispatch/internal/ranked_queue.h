// This system's queue: urgent first, guaranteed shares of slot time for lower
// ranks, callers share within a rank, and what can't be served before its
// deadline is refused on arrival.

#ifndef BLUEBELL_DISPATCH_INTERNAL_RANKED_QUEUE_H_
#define BLUEBELL_DISPATCH_INTERNAL_RANKED_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "bluebell/config/policy_values.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/admission.h"
#include "bluebell/dispatch/caller_queues.h"
#include "bluebell/dispatch/completion.h"
#include "bluebell/dispatch/internal/rank_usage.h"
#include "bluebell/dispatch/queue_policy.h"
#include "bluebell/dispatch/queue_pressure.h"
#include "bluebell/dispatch/queued_request.h"
#include "bluebell/dispatch/rank_shares.h"
#include "bluebell/dispatch/service_estimate.h"
#include "bluebell/dispatch/slot_limit.h"

namespace bluebell {

// The functions are those of `endpoint_queue`.
class ranked_queue {
 public:
  ranked_queue(std::uint32_t slots,
               const policy_values& values,
               const ranked_policy& policy,
               instant now);

  admission Submit(const queued_request& request, instant now);
  std::optional<queued_request> StartNext(instant now);
  std::vector<queued_request> TakeExpired(instant now);
  bool Withdraw(const request_id& id);
  void Finish(const request_id& id, const completion& how, instant now);
  void Configure(const policy_values& values, instant now);
  queue_pressure pressure(instant now) const;
  std::optional<instant> next_wakeup(instant now) const;

 private:
  struct started_request {
    queued_request request;
    duration charged{0};
    instant started_at;
  };

  rank_flags Waiting() const;
  bool MayStart(rank value, instant now) const;
  void SetAsideExpired(instant now);

  instant LatestStart(const queued_request& request, instant now) const;

  // How much room before its deadline a request needs to be admitted.
  duration Margin(const queued_request& request, instant now) const;
  std::size_t CallerLimit(rank value) const;

  // When a request of `value` starts that arrives now and finds `ahead` others
  // of its rank before it.
  duration ExpectedWait(rank value, std::size_t ahead, instant now) const;
  duration SlotTimeOf(rank value, std::size_t requests) const;

  std::uint32_t slots_;
  policy_values values_;
  ranked_policy policy_;
  std::array<caller_queues, kRanks.size()> waiting_;
  // Taken out of `waiting_` until TakeExpired returns them.
  std::vector<queued_request> expired_;
  std::unordered_map<request_id, started_request> started_;
  rank_shares shares_;
  rank_usage usage_;
  slot_limit limit_;
  service_estimate service_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_INTERNAL_RANKED_QUEUE_H_
