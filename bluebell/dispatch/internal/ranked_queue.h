// The queue of the policy "bluebell": urgent requests first, guaranteed shares
// of slot time for the other ranks, and fair sharing between the callers of a
// rank. A request that can't be served before its deadline is rejected on
// arrival.

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

// The functions have the contracts of those of `endpoint_queue`.
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
  // False if a request of `value` has to leave the free slots to urgent
  // requests.
  bool MayStart(rank value, instant now) const;
  // Moves expired requests from `waiting_` to `expired_`.
  void CollectExpired(instant now);

  // The time after which a request that arrives at `now` isn't started any
  // more.
  instant LatestStart(const queued_request& request, instant now) const;

  // A request is admitted only if its expected start is at least this long
  // before its deadline.
  duration AdmissionMargin(const queued_request& request, instant now) const;
  // The number of waiting requests of `value` that one caller may have now.
  std::size_t CallerLimit(rank value) const;

  // The expected wait of a request of `value` that arrives at `now` with
  // `ahead` requests of its rank before it.
  duration ExpectedWait(rank value, std::size_t ahead, instant now) const;
  // The expected slot time of that number of requests of `value`.
  duration SlotTimeOf(rank value, std::size_t requests) const;

  std::uint32_t slots_;
  policy_values values_;
  ranked_policy policy_;
  std::array<caller_queues, kRanks.size()> waiting_;
  // Expired requests, until TakeExpired() returns them.
  std::vector<queued_request> expired_;
  std::unordered_map<request_id, started_request> started_;
  rank_shares shares_;
  rank_usage usage_;
  slot_limit limit_;
  service_estimate service_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_INTERNAL_RANKED_QUEUE_H_
