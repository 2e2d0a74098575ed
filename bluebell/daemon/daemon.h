// A complete daemon: control thread, traffic threads, links to other daemons
// and the operators' HTTP server.
//
//   auto running = daemon::Start(io, settings).value();
//   running->Shutdown([&] { io.stop(); });

#ifndef BLUEBELL_DAEMON_DAEMON_H_
#define BLUEBELL_DAEMON_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <vector>

#include "bluebell/control/operator_command.h"
#include "bluebell/core/result.h"
#include "bluebell/settings/daemon_settings.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "bluebell/wire/ledger_transfer.h"

namespace bluebell {

class admin_server;
class control_loop;
class peer_server;
class traffic_plane;

class daemon {
 public:
  // Opens all sockets and starts the threads. The operators' server runs on
  // `io`, which one thread runs and which must outlive the daemon. Fails if the
  // daemon cannot listen on one of its addresses.
  static result<std::unique_ptr<daemon>> Start(boost::asio::io_context& io,
                                               const daemon_settings& settings);

  daemon(const daemon&) = delete;
  daemon& operator=(const daemon&) = delete;
  ~daemon();

  // Announces to the other daemons that this one leaves, stops accepting
  // connections, waits until all requests have ended, transfers the request
  // ledgers to the next dispatchers, and calls `done` on the thread of `io`.
  void Shutdown(std::function<void()> done);

 private:
  daemon(boost::asio::io_context& io, daemon_settings settings);

  result<bool> Open();
  result<bool> OpenControl();
  void Explain(const request_id& id,
               const std::function<void(operator_reply)>& done);
  void TransferLedgers(const std::vector<ledger_transfer>& ledgers);
  void After(milliseconds delay, std::function<void()> task);

  boost::asio::io_context& io_;
  daemon_settings settings_;
  metrics_registry metrics_;
  // Destroyed in reverse order, so that servers are destroyed before the
  // objects that they call.
  std::unique_ptr<control_loop> control_;
  std::unique_ptr<traffic_plane> plane_;
  std::unique_ptr<peer_server> peers_;
  std::unique_ptr<admin_server> admin_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_DAEMON_H_
