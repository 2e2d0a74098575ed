// A gateway daemon. It runs its control side on the thread of the io_context
// and starts another thread for traffic. All functions are called on the
// thread of the io_context.
//
//   auto daemon = gateway_daemon::Start(io, settings).value();
//   io.run();

#ifndef BLUEBELL_GATEWAY_GATEWAY_DAEMON_H_
#define BLUEBELL_GATEWAY_GATEWAY_DAEMON_H_

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/proxy/shutdown_window.h"
#include "bluebell/settings/gateway_settings.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class coordinator_role;
class fleet_state;
struct fleet_snapshot;
class kv_client;
class member_lease;
class store_watcher;
class traffic_server;

class gateway_daemon {
 public:
  // Fails if the store's address can't be used or the traffic side can't start.
  static result<std::unique_ptr<gateway_daemon>> Start(
      boost::asio::io_context& io,
      const gateway_settings& settings);
  gateway_daemon(const gateway_daemon&) = delete;
  gateway_daemon& operator=(const gateway_daemon&) = delete;
  ~gateway_daemon();

  // Gives up the daemon's roles, finishes the accepted requests and calls
  // `done`, at the latest shortly before gateway_settings::grace has passed.
  // Later calls have no effect.
  void Shutdown(std::function<void()> done);

  // Called when the settings file has been read again. Logs whether the
  // settings differ; none of them is applied while the daemon runs.
  void Reload(const gateway_settings& settings);

 private:
  gateway_daemon(boost::asio::io_context& io, const gateway_settings& settings);

  void OnState(const fleet_state& state);
  // Tells the watcher the duty of this daemon and the relays of its domain.
  void ApplyDuty(const fleet_snapshot& view);
  // Repeats after a short interval until the daemon can stop.
  void FinishShutdown();

  boost::asio::io_context& io_;
  gateway_settings settings_;
  daemon_instance self_;
  metrics_registry metrics_;
  std::unique_ptr<kv_client> store_;
  std::unique_ptr<traffic_server> traffic_;
  std::unique_ptr<store_watcher> watcher_;
  std::unique_ptr<member_lease> member_;
  std::unique_ptr<coordinator_role> role_;
  boost::asio::steady_timer shutdown_timer_;
  std::function<void()> shutdown_done_;
  std::optional<shutdown_window> shutdown_;
  bool stopped_accepting_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_GATEWAY_DAEMON_H_
