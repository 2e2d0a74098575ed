// The dispatchers that run on one traffic thread. All calls are made on it.
//
//   set.Adopt(snapshot);
//   set.Submit(target, std::move(submission));

#ifndef BLUEBELL_DISPATCHER_DISPATCHER_SET_H_
#define BLUEBELL_DISPATCHER_DISPATCHER_SET_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/dispatcher/dispatcher.h"
#include "bluebell/routing/routing_snapshot.h"
#include "bluebell/runtime/traffic_context.h"
#include "bluebell/wire/ledger_transfer.h"
#include "bluebell/wire/pressure_update.h"

namespace bluebell {

// The index of the traffic thread, out of `thread_count`, on which the
// dispatcher of `instance` runs.
std::size_t ThreadOf(const endpoint_instance& instance,
                     std::size_t thread_count);

// The ledger of an endpoint that has another dispatcher now, and the address of
// that dispatcher's daemon.
struct ledger_handover {
  address to;
  ledger_transfer ledger;
};

class dispatcher_set {
 public:
  using on_handover = std::function<void(ledger_handover handover)>;

  // Has the dispatchers of the endpoints for which ThreadOf() returns
  // `thread_index`.
  dispatcher_set(traffic_context context,
                 std::size_t thread_index,
                 std::size_t thread_count,
                 on_handover hand_over);

  // Creates, updates, retires and removes dispatchers according to `snapshot`.
  // Passes the ledger of each removed one to the handover callback.
  void Adopt(const std::shared_ptr<const routing_snapshot>& snapshot);

  // Delivers `not_run` if this daemon isn't the endpoint's dispatcher.
  void Submit(const endpoint_instance& instance,
              dispatch_submission submission);
  void Abandon(const endpoint_instance& instance,
               const request_id& id,
               std::uint64_t waiter);
  request_state Query(const request_query& query);
  // Returns false if this daemon isn't the endpoint's dispatcher.
  bool AdoptLedger(const ledger_transfer& transfer);

  // The load of the queues of all dispatchers that aren't retired.
  std::vector<pressure_update> Pressures(instant now) const;

  // True if no request is queued or running.
  bool IsIdle() const;
  // The ledgers of all dispatchers, for the daemons that become the
  // dispatchers.
  std::vector<ledger_transfer> ExportAll() const;

 private:
  bool IsDispatchedHere(const endpoint_entry& endpoint) const;
  void Update(const service_name& service, const endpoint_entry& endpoint);
  // Retires the dispatchers of endpoints that other daemons dispatch, and
  // removes retired ones without requests.
  void RetireUnassigned();
  void HandOver(const dispatcher& retired);

  traffic_context context_;
  std::size_t thread_index_;
  std::size_t thread_count_;
  on_handover hand_over_;
  std::shared_ptr<const routing_snapshot> snapshot_;
  std::map<endpoint_instance, std::shared_ptr<dispatcher>> dispatchers_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_DISPATCHER_SET_H_
