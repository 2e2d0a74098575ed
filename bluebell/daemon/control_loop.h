// The control thread: one io_context and one thread that turn what happens
// into events for the control state and carry out the actions it returns.
//
//   auto loop = control_loop::Make(settings, decisions, options, metrics);
//   loop.value()->Start();
//   loop.value()->Post(stop_requested{});

#ifndef BLUEBELL_DAEMON_CONTROL_LOOP_H_
#define BLUEBELL_DAEMON_CONTROL_LOOP_H_

#include <functional>
#include <memory>

#include "bluebell/control/control_event.h"
#include "bluebell/control/operator_command.h"
#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/daemon/control_decisions.h"
#include "bluebell/peer/peer_server.h"
#include "bluebell/routing/snapshot_holder.h"
#include "bluebell/settings/daemon_settings.h"
#include "bluebell/store/platform_client.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class metrics_registry;

struct control_loop_options {
  // A store call that takes longer has failed. Below `table_freshness`, so that
  // a second read fits in.
  milliseconds store_timeout{300};
  // A lease request that takes longer has failed. Below `lease_term`.
  milliseconds lease_timeout{250};
  milliseconds fetch_timeout{1'000};
  // Makes the platform client; empty: an http_platform for the settings'
  // address.
  std::function<result<platform_client>(boost::asio::io_context& io)> platform;
  // Called on the control thread with each new snapshot, after the holder has
  // it. May be empty.
  std::function<void(const std::shared_ptr<const routing_snapshot>&)>
      on_snapshot;
};

class control_loop {
 public:
  using operator_reply_handler = std::function<void(operator_reply)>;

  // Opens the heartbeat socket at `settings.peer_listen`. `metrics` outlives
  // the loop.
  static result<std::unique_ptr<control_loop>> Make(
      const daemon_settings& settings,
      control_decisions decisions,
      const control_loop_options& options,
      metrics_registry& metrics);

  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;
  // Stops.
  ~control_loop();

  // Starts the thread.
  void Start();
  // Ends the thread and waits for it. Open calls are abandoned.
  void Stop();

  // The functions below may be called from any thread.

  // Hands an event to the control state.
  void Post(control_event event);

  // Hands a command to the control state; `done` gets its answer on the control
  // thread.
  void Ask(operator_command command, operator_reply_handler done);

  // Answers a peer's state_request.
  void AnswerStateRequest(peer_reply reply);

  const snapshot_holder& snapshots() const;

  // Where heartbeats arrive.
  const address& heartbeat_address() const;

 private:
  class impl;
  explicit control_loop(std::unique_ptr<impl> state);

  std::unique_ptr<impl> impl_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_CONTROL_LOOP_H_
