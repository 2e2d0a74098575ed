// Brings callers' requests to their endpoints: routes each on the published
// snapshot, hands it to the endpoint's dispatcher here or on another daemon,
// waits or routes again as the rules say, and ends with exactly one outcome.
// Lives on one traffic thread.
//
//   std::uint64_t ticket = router.Submit(request, std::move(sink));
//   router.Abandon(ticket);

#ifndef BLUEBELL_ENTRY_ENTRY_ROUTER_H_
#define BLUEBELL_ENTRY_ENTRY_ROUTER_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>

#include "bluebell/core/caller_request.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/request_outcome.h"
#include "bluebell/dispatch/retry_budget.h"
#include "bluebell/dispatcher/outcome_sink.h"
#include "bluebell/dispatcher/pressure_board.h"
#include "bluebell/entry/reroute_rules.h"
#include "bluebell/routing/route.h"
#include "bluebell/routing/routing_snapshot.h"
#include "bluebell/runtime/decision_log.h"
#include "bluebell/runtime/traffic_context.h"

namespace bluebell {

class dispatch_gateway;

class entry_router {
 public:
  // `index` names the traffic thread.
  entry_router(traffic_context context,
               std::size_t index,
               dispatch_gateway& gateway,
               std::uint32_t log_one_in);
  entry_router(const entry_router&) = delete;
  entry_router& operator=(const entry_router&) = delete;
  ~entry_router();

  void Adopt(std::shared_ptr<const routing_snapshot> snapshot);
  // Empty until the first snapshot arrived.
  const std::shared_ptr<const routing_snapshot>& snapshot() const {
    return snapshot_;
  }

  // Ends `sink` with exactly one outcome, possibly before it returns. The
  // ticket names the request for Abandon.
  std::uint64_t Submit(std::shared_ptr<const caller_request> request,
                       outcome_sink sink);

  // The caller is gone; its sink gets an outcome that nobody reads.
  void Abandon(std::uint64_t ticket);

  void OnPressure(const pressure_update& update);

  std::size_t pending() const { return exchanges_.size(); }
  const decision_ring& decisions() const { return decisions_.ring(); }

 private:
  struct exchange;
  using exchange_map =
      std::unordered_map<std::uint64_t, std::unique_ptr<exchange>>;

  void RouteOne(std::uint64_t ticket);
  void OnRejected(std::uint64_t ticket, const not_run& why);
  void Send(std::uint64_t ticket, const order_target& target, bool forward);
  bool WouldBeLate(const exchange& waiting,
                   const order_target& target,
                   instant now) const;
  void Wait(std::uint64_t ticket, std::optional<duration> delay);
  void OnWaitEnd(std::uint64_t ticket);
  void OnOutcome(std::uint64_t ticket,
                 std::uint32_t attempt,
                 const request_id& id,
                 request_outcome outcome);
  void End(std::uint64_t ticket, request_outcome outcome);
  retry_budget& BudgetOf(const service_name& service);

  traffic_context context_;
  std::size_t index_;
  dispatch_gateway* gateway_;
  std::shared_ptr<const routing_snapshot> snapshot_;
  pressure_board pressures_;
  decision_log decisions_;
  std::map<service_name, retry_budget> budgets_;
  exchange_map exchanges_;
  // Tickets that wait for a snapshot or a delay.
  std::map<std::uint64_t, instant> waiting_;
  std::mt19937_64 random_;
  std::uint64_t next_ticket_ = 1;
};

}  // namespace bluebell

#endif  // BLUEBELL_ENTRY_ENTRY_ROUTER_H_
