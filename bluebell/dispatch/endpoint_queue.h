// The queue and the slots of one endpoint, owned by its dispatcher and used on
// the dispatcher's traffic thread.
//
// Urgent requests are served first, each lower rank gets its guaranteed share
// of slot time, and callers of one rank share its slot time. A request that
// can't be served before its deadline is rejected on arrival. The other
// policies are baselines for comparison.
//
//   endpoint_queue queue = endpoint_queue::Make(slots, values, now).value();
//   admission verdict = queue.Submit(request, now);
//   while (auto next = queue.StartNext(now)) { Send(*next); }
//   queue.Finish(id, completion{...}, now);

#ifndef BLUEBELL_DISPATCH_ENDPOINT_QUEUE_H_
#define BLUEBELL_DISPATCH_ENDPOINT_QUEUE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "bluebell/config/policy_values.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/admission.h"
#include "bluebell/dispatch/completion.h"
#include "bluebell/dispatch/queue_policy.h"
#include "bluebell/dispatch/queue_pressure.h"
#include "bluebell/dispatch/queued_request.h"

namespace bluebell {

class endpoint_queue {
 public:
  // `slots` is the number of requests that the endpoint runs at the same time
  // after its warm-up, which begins at `now`. Fails with errc::kInvalidArgument
  // if it is zero.
  static result<endpoint_queue> Make(
      std::uint32_t slots,
      const policy_values& values,
      instant now,
      const queue_policy& policy = ranked_policy{});

  endpoint_queue(endpoint_queue&& other) noexcept;
  endpoint_queue& operator=(endpoint_queue&& other) noexcept;
  endpoint_queue(const endpoint_queue&) = delete;
  endpoint_queue& operator=(const endpoint_queue&) = delete;
  ~endpoint_queue();

  // Admits or rejects `request`. A rejected request never enters the queue.
  admission Submit(const queued_request& request, instant now);

  // Takes a slot for the next request and returns the request, which the caller
  // has to send. No value if no slot is free or no request may start.
  std::optional<queued_request> StartNext(instant now);

  // Removes and returns the waiting requests whose deadline has passed or can
  // no longer be met.
  std::vector<queued_request> TakeExpired(instant now);

  // Removes a waiting request. Returns false if it isn't waiting.
  bool Withdraw(const request_id& id);

  // Releases the slot of a started request, which ended as `how` says.
  void Finish(const request_id& id, const completion& how, instant now);

  // Applies changed limits and shares to requests that arrive from now on.
  void Configure(const policy_values& values, instant now);

  // The load of the queue, for the entry daemons.
  queue_pressure pressure(instant now) const;

  // The next time at which StartNext() or TakeExpired() may return a request
  // without a call of another function before; no value if there is none.
  std::optional<instant> next_wakeup(instant now) const;

 private:
  class state;
  explicit endpoint_queue(std::unique_ptr<state> initial);

  std::unique_ptr<state> state_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_ENDPOINT_QUEUE_H_
