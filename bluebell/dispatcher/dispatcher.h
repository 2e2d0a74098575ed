// Sends the requests for one endpoint instance: holds its queue, its request
// ledger, its retry budget and its connections. Lives on one traffic thread.
//
//   auto dispatcher = dispatcher::Make(context, endpoint, snapshot).value();
//   dispatcher->Submit({request, waiter, std::move(sink)});

#ifndef BLUEBELL_DISPATCHER_DISPATCHER_H_
#define BLUEBELL_DISPATCHER_DISPATCHER_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/caller_request.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/request_outcome.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/dispatch/endpoint_queue.h"
#include "bluebell/dispatch/request_ledger.h"
#include "bluebell/dispatch/retry_budget.h"
#include "bluebell/dispatcher/dispatch_claim.h"
#include "bluebell/dispatcher/order_permission.h"
#include "bluebell/dispatcher/order_rules.h"
#include "bluebell/dispatcher/outcome_sink.h"
#include "bluebell/routing/routing_snapshot.h"
#include "bluebell/runtime/traffic_context.h"
#include "bluebell/wire/ledger_transfer.h"
#include "bluebell/wire/request_query.h"

namespace bluebell {

class endpoint_pool;
class order_attempt;

struct dispatch_submission {
  std::shared_ptr<const caller_request> request;
  // Names the one who waits for the outcome, for Abandon.
  std::uint64_t waiter = 0;
  outcome_sink sink;
};

class dispatcher : public std::enable_shared_from_this<dispatcher> {
 public:
  static result<std::shared_ptr<dispatcher>> Make(
      const traffic_context& context,
      const service_name& service,
      const endpoint_instance& instance,
      std::shared_ptr<const routing_snapshot> snapshot);

  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;
  ~dispatcher();

  // Ends `submission.sink` with exactly one outcome, at the latest at the
  // request's deadline.
  void Submit(dispatch_submission submission);

  // The waiter is gone. A request that nobody waits for is withdrawn or, if it
  // was sent, cancelled at the endpoint.
  void Abandon(const request_id& id, std::uint64_t waiter);

  // How a request stands, for a daemon that lost the link that carried it. A
  // request that hasn't arrived is refused for good from now on.
  request_standing Query(const request_id& id);

  // Takes over new limits; withdraws queued requests that this daemon may no
  // longer send.
  void Adopt(std::shared_ptr<const routing_snapshot> snapshot);

  // Another daemon is the dispatcher from now on: withdraws what is queued and
  // refuses what arrives. What was sent runs to its end.
  void Retire();
  // Is the dispatcher again. Another one may have run requests in between.
  void Resume();

  // Takes over what a former dispatcher knows. Until the last part has arrived
  // its records count, but not its completeness.
  void AdoptLedger(const ledger_transfer& transfer);
  ledger_transfer ExportLedger() const;

  const service_name& service() const { return service_; }
  const endpoint_instance& instance() const { return instance_; }
  bool retired() const { return retired_; }
  // True if no request is queued or running.
  bool IsIdle() const { return orders_.empty(); }
  queue_pressure Pressure(instant now) const { return queue_.pressure(now); }

 private:
  struct waiter {
    std::uint64_t id = 0;
    outcome_sink sink;
  };
  struct order {
    std::shared_ptr<const caller_request> request;
    std::optional<key_hash> where;
    std::vector<waiter> waiters;
    order_progress progress;
    bool has_slot = false;
    // True while the current attempt counts as unproven.
    bool attempt_unproven = false;
    std::shared_ptr<order_attempt> attempt;
    std::optional<order_target> target;
  };
  using order_map = std::unordered_map<request_id, order>;

  dispatcher(traffic_context context,
             service_name service,
             const endpoint_entry& endpoint,
             const service_spec& spec,
             endpoint_queue queue,
             std::shared_ptr<const routing_snapshot> snapshot);

  void SubmitNew(dispatch_submission submission);
  void Join(dispatch_submission submission);
  // Why the order may not be sent, if so.
  std::optional<key_hash> OwnedHashOf(const caller_request& request) const;
  // True if another endpoint owned `where` when the id may have been issued.
  bool MayHaveRunElsewhere(key_hash where,
                           const request_id& id,
                           instant now) const;
  std::optional<not_run> Refusal(const order& waiting, instant now) const;
  // Why the queue refused the request, if so.
  std::optional<not_run> Enqueue(const caller_request& request, instant now);
  void Claim(const dispatch_claim& claim);

  void Pump();
  void ScheduleWakeup(instant now);
  void Start(const request_id& id);
  void StartAttempt(order& started);
  order_permission BeforeWrite(const request_id& id, instant now);
  void OnAttemptEnd(const request_id& id, const attempt_end& end);
  void Account(order& ended, const attempt_end& end);
  void AccountReply(const order& ended, const reply_read& end);
  void QueueAgain(order& shed_order);
  void EndSlot(const order& ended, const completion& how);
  void EndOrder(const request_id& id, const end_order& end);
  void RefuseQueued(const request_id& id, not_run why);
  void CancelRunning(const order& unwanted);
  request_outcome Proven(const order& ended, request_outcome outcome) const;

  traffic_context context_;
  service_name service_;
  endpoint_instance instance_;
  address where_;
  bool checks_epoch_;
  std::shared_ptr<const routing_snapshot> snapshot_;
  endpoint_queue queue_;
  retry_budget budget_;
  dispatch_claim claim_;
  request_ledger ledger_;
  std::shared_ptr<endpoint_pool> pool_;
  order_map orders_;
  boost::asio::steady_timer wakeup_;
  std::optional<instant> wakeup_at_;
  // Mean over the last answers.
  duration service_time_{0};
  instant observed_at_;
  bool retired_ = false;
  bool pumping_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_DISPATCHER_H_
