// Sends the requests for one endpoint instance. Owns its queue, its request
// ledger, its retry budget and its connections. All calls are made on one
// traffic thread.
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

// A request, and where its outcome is delivered.
struct dispatch_submission {
  std::shared_ptr<const caller_request> request;
  // Identifies the party that waits for the outcome, for Abandon().
  std::uint64_t waiter = 0;
  outcome_sink sink;
};

class dispatcher : public std::enable_shared_from_this<dispatcher> {
 public:
  // Fails with errc::kNotFound if `snapshot` has no such endpoint instance.
  static result<std::shared_ptr<dispatcher>> Make(
      const traffic_context& context,
      const service_name& service,
      const endpoint_instance& instance,
      std::shared_ptr<const routing_snapshot> snapshot);

  dispatcher(const dispatcher&) = delete;
  dispatcher& operator=(const dispatcher&) = delete;
  ~dispatcher();

  // Delivers exactly one outcome to `submission.sink`, at the latest at the
  // request's deadline.
  void Submit(dispatch_submission submission);

  // The party `waiter` no longer waits. A request without waiters is removed
  // from the queue or, if it was sent, cancelled at the endpoint.
  void Abandon(const request_id& id, std::uint64_t waiter);

  // The state of a request, for a daemon that lost the link over which it sent
  // the request. A request that hasn't arrived is withdrawn: it is refused if
  // it arrives later.
  request_state Query(const request_id& id);

  // Applies the limits of `snapshot`, and ends queued requests that this daemon
  // may no longer send.
  void Adopt(std::shared_ptr<const routing_snapshot> snapshot);

  // Another daemon is the dispatcher from now on. Ends queued requests and
  // refuses new ones; requests that were sent run to their end.
  void Retire();
  // This daemon is the dispatcher again. Makes a new claim if it was retired,
  // because another dispatcher may have sent requests in between.
  void Resume();

  // Adds the records of a former dispatcher's ledger. The time from which that
  // ledger is complete applies only after the last part has arrived.
  void AdoptLedger(const ledger_transfer& transfer);
  ledger_transfer ExportLedger() const;

  const service_name& service() const { return service_; }
  const endpoint_instance& instance() const { return instance_; }
  bool retired() const { return retired_; }
  // True if no request is queued or running.
  bool IsIdle() const { return orders_.empty(); }
  queue_pressure Pressure(instant now) const { return queue_.pressure(now); }

 private:
  // A party that waits for the outcome of an order.
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
    // True while it isn't proven that the current attempt didn't run.
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
  // Adds a waiter to the order of the same request.
  void Join(dispatch_submission submission);
  // The hash of the request's key, if its service is divided by key.
  std::optional<key_hash> OwnedHashOf(const caller_request& request) const;
  // True if another endpoint may have owned the key when the id was issued.
  bool MayHaveRunElsewhere(key_hash where,
                           const request_id& id,
                           instant now) const;
  // Why the order may not be sent; no value if it may.
  std::optional<not_run> FindRefusal(const order& waiting, instant now) const;
  // Submits the request to the queue. Returns why the queue rejected it; no
  // value if it was admitted.
  std::optional<not_run> Enqueue(const caller_request& request, instant now);
  // Replaces the claim, and the ledger by one that is complete from the time in
  // the claim and has the same records.
  void Claim(const dispatch_claim& claim);

  // Ends the requests that expired in the queue and starts those that may
  // start.
  void ProcessQueue();
  void ScheduleWakeup(instant now);
  void Start(const request_id& id);
  void StartAttempt(order& started);
  // Called immediately before an order is written: checks the permission, and
  // counts the attempt as unproven if it is given.
  order_permission BeforeWrite(const request_id& id, instant now);
  void OnAttemptEnd(const request_id& id, const attempt_end& end);
  // Records what the end of an attempt shows about the order and the endpoint.
  void RecordAttemptEnd(order& ended, const attempt_end& end);
  void RecordReply(const order& ended, const reply_read& end);
  // Releases the slot of an order that the endpoint shed, and queues it again.
  void Requeue(order& shed_order);
  void ReleaseSlot(const order& ended, const completion& how);
  void EndOrder(const request_id& id, const end_order& end);
  void RefuseQueued(const request_id& id, not_run why);
  void CancelRunning(const order& unwanted);
  // Returns `outcome`, or `unknown` and reports a violation if it is `not_run`
  // although an attempt may have run.
  request_outcome CheckedOutcome(const order& ended,
                                 request_outcome outcome) const;

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
  // Moving mean over the latest answers.
  duration service_time_{0};
  // When the control thread was last told of an exchange.
  instant observed_at_;
  bool retired_ = false;
  bool processing_queue_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_DISPATCHER_H_
