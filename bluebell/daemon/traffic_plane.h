// The traffic side of a daemon: its traffic threads, the acceptor of callers'
// connections, and the calls between the threads.
//
//   auto plane = traffic_plane::Start(settings, metrics, hooks).value();
//   plane->Publish(snapshot);
//   plane->Drain([] { ... });

#ifndef BLUEBELL_DAEMON_TRAFFIC_PLANE_H_
#define BLUEBELL_DAEMON_TRAFFIC_PLANE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "bluebell/core/request_id.h"
#include "bluebell/core/result.h"
#include "bluebell/daemon/traffic_shard.h"
#include "bluebell/entry/dispatch_gateway.h"
#include "bluebell/routing/routing_snapshot.h"
#include "bluebell/settings/daemon_settings.h"
#include "bluebell/wire/ledger_transfer.h"
#include "bluebell/wire/request_query.h"

namespace bluebell {

class tcp_listener;
class metrics_registry;

// Reports to the control thread. Called on traffic threads; must not block.
struct plane_hooks {
  std::function<void(const exchange_observed& exchange)> report_exchange;
  // Called once a second with the merged load of all threads.
  std::function<void(const load_report& load)> report_load;
};

class traffic_plane {
 public:
  static result<std::unique_ptr<traffic_plane>> Start(
      const daemon_settings& settings,
      metrics_registry& metrics,
      const plane_hooks& hooks);
  traffic_plane(const traffic_plane&) = delete;
  traffic_plane& operator=(const traffic_plane&) = delete;
  ~traffic_plane();

  // All functions may be called from any thread.

  // Passes a new snapshot to all traffic threads.
  void Publish(const std::shared_ptr<const routing_snapshot>& snapshot);

  // Records the pressure at endpoints that other daemons dispatch to.
  void OnPressure(const pressure_update& update);

  // Submits a request that another daemon forwarded. The submission's sink is
  // called on a traffic thread.
  void Submit(const endpoint_instance& instance,
              dispatch_submission submission);
  void Abandon(const endpoint_instance& instance,
               const request_id& id,
               std::uint64_t waiter);
  void Query(const request_query& query,
             std::function<void(request_state query_result)> done);
  void AdoptLedger(const ledger_transfer& transfer,
                   std::function<void(bool adopted)> done);

  // Passes the decisions on a request that this daemon still has to `done`, as
  // a JSON array.
  void Explain(const request_id& id,
               std::function<void(std::string json)> done);

  // Stops accepting connections, waits until all requests have ended, and calls
  // `done` on a traffic thread with the ledgers of the remaining dispatchers.
  void Drain(std::function<void(std::vector<ledger_transfer> ledgers)> done);

  // Sends a ledger to the daemon at `to`, the endpoint's next dispatcher.
  void SendLedger(const address& to, const ledger_transfer& ledger);

  std::uint16_t caller_port() const;
  // The threads' event loops, for the peer server. They are destroyed with the
  // plane.
  std::vector<boost::asio::io_context*> loops() const;

 private:
  traffic_plane(const daemon_settings& settings,
                metrics_registry& metrics,
                const plane_hooks& hooks);

  void AcceptCallers();
  void OnLoad(std::size_t shard, const load_report& load);
  void SharePressures(const std::vector<pressure_update>& updates);
  void CheckDrained(
      std::function<void(std::vector<ledger_transfer> ledgers)> done);

  plane_hooks hooks_;
  dispatch_gateway gateway_;
  std::vector<std::unique_ptr<traffic_shard>> shards_;
  std::shared_ptr<tcp_listener> listener_;
  // The position of the shard that gets the next connection.
  std::size_t next_shard_ = 0;
  // The last report of each shard. Used on the first shard's thread only.
  std::vector<load_report> loads_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_TRAFFIC_PLANE_H_
