// The baseline queue: first come, first served, with a limit of its length
// only.

#ifndef BLUEBELL_DISPATCH_INTERNAL_FIFO_QUEUE_H_
#define BLUEBELL_DISPATCH_INTERNAL_FIFO_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>
#include <vector>

#include "bluebell/config/policy_values.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/admission.h"
#include "bluebell/dispatch/completion.h"
#include "bluebell/dispatch/queue_pressure.h"
#include "bluebell/dispatch/queued_request.h"
#include "bluebell/dispatch/service_estimate.h"

namespace bluebell {

// The functions have the contracts of those of `endpoint_queue`.
class fifo_queue {
 public:
  fifo_queue(std::uint32_t slots, const policy_values& values);

  admission Submit(const queued_request& request, instant now);
  std::optional<queued_request> StartNext(instant now);
  std::vector<queued_request> TakeExpired(instant now);
  bool Withdraw(const request_id& id);
  void Finish(const request_id& id, const completion& how, instant now);
  void Configure(const policy_values& values, instant now);
  queue_pressure pressure(instant now) const;
  std::optional<instant> next_wakeup(instant now) const;

 private:
  duration ExpectedWait() const;

  std::uint32_t slots_;
  std::size_t queue_limit_ = 0;
  std::deque<queued_request> waiting_;
  std::unordered_set<request_id> in_flight_;
  service_estimate service_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_INTERNAL_FIFO_QUEUE_H_
