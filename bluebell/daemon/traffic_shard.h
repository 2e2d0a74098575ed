// The objects of one traffic thread: callers' connections, the entry router,
// and the dispatchers of a share of the endpoints.
//
//   traffic_shard shard(options, index, threads, gateway);
//   shard.Publish(snapshot);

#ifndef BLUEBELL_DAEMON_TRAFFIC_SHARD_H_
#define BLUEBELL_DAEMON_TRAFFIC_SHARD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "bluebell/control/control_event.h"
#include "bluebell/daemon/traffic_thread.h"
#include "bluebell/dispatcher/dispatcher_set.h"
#include "bluebell/entry/caller_server.h"
#include "bluebell/entry/entry_router.h"
#include "bluebell/entry/peer_forwarder.h"
#include "bluebell/runtime/load_meter.h"
#include "bluebell/runtime/traffic_context.h"
#include "bluebell/settings/daemon_settings.h"
#include "bluebell/wire/pressure_update.h"

namespace bluebell {

class dispatch_gateway;
class metrics_registry;

// Called on traffic threads; they must not block.
struct traffic_hooks {
  std::function<void(const exchange_observed& exchange)> report_exchange;
  std::function<void(std::size_t shard, const load_report& load)> report_load;
  std::function<void(const std::vector<pressure_update>& updates)>
      share_pressures;
};

class traffic_shard {
 public:
  traffic_shard(const daemon_settings& settings,
                std::size_t index,
                dispatch_gateway& gateway,
                metrics_registry& metrics,
                const traffic_hooks& hooks);
  traffic_shard(const traffic_shard&) = delete;
  traffic_shard& operator=(const traffic_shard&) = delete;
  ~traffic_shard() = default;

  boost::asio::io_context& io() { return thread_.io(); }
  dispatcher_set& dispatchers() { return dispatchers_; }
  peer_forwarder& forwarder() { return forwarder_; }

  void Start();
  // The next three functions may be called from any thread.
  void Publish(std::shared_ptr<const routing_snapshot> snapshot);
  void Take(boost::asio::ip::tcp::socket socket);
  void Drain();

  // The next three functions may be called on this shard's thread only.
  entry_router& router() { return router_; }
  caller_server& callers() { return callers_; }
  bool IsIdle() const;

  // Ends the thread. Requests that are still pending end as unknown.
  void Stop();
  // See traffic_thread::RunReadyHandlers.
  void RunReadyHandlers() { thread_.RunReadyHandlers(); }

 private:
  void ScheduleReports();
  void Report();

  std::size_t index_;
  traffic_hooks hooks_;
  traffic_thread thread_;
  load_meter load_;
  traffic_context context_;
  dispatcher_set dispatchers_;
  peer_forwarder forwarder_;
  entry_router router_;
  caller_server callers_;
  boost::asio::steady_timer reports_;
  unsigned report_count_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_TRAFFIC_SHARD_H_
