// The control thread. It has its own io_context, passes events such as
// messages, answers and ticks to the control state, and executes the actions
// that the control state returns.
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
#include "bluebell/routing/snapshot_publisher.h"
#include "bluebell/settings/daemon_settings.h"
#include "bluebell/store/platform_client.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class metrics_registry;

struct control_loop_options {
  // A store call that takes longer fails. Shorter than `table_freshness`, so
  // that a second read can succeed in that time.
  milliseconds store_timeout{300};
  // A lease request that takes longer fails. Shorter than `lease_term`.
  milliseconds lease_timeout{250};
  // A request for a peer's state that takes longer fails.
  milliseconds fetch_timeout{1'000};
  // Creates the platform client. If empty, an http_platform for the address in
  // the settings is used.
  std::function<result<platform_client>(boost::asio::io_context& io)> platform;
  // Called on the control thread with each new snapshot, after snapshots() has
  // it. May be empty.
  std::function<void(const std::shared_ptr<const routing_snapshot>&)>
      on_snapshot;
};

class control_loop {
 public:
  using operator_reply_handler = std::function<void(operator_reply)>;

  // Opens the heartbeat socket at `settings.peer_listen`. Fails if the socket
  // or the platform client cannot be created. `metrics` must outlive the loop.
  static result<std::unique_ptr<control_loop>> Make(
      const daemon_settings& settings,
      control_decisions decisions,
      const control_loop_options& options,
      metrics_registry& metrics);

  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;
  // Calls Stop.
  ~control_loop();

  // Starts the thread.
  void Start();
  // Ends the thread and waits for it. Pending calls are abandoned without a
  // result.
  void Stop();

  // The functions below may be called from any thread.

  // Passes an event to the control state.
  void Post(control_event event);

  // Passes an operator's command to the control state. `done` is called with
  // the answer on the control thread.
  void Ask(operator_command command, operator_reply_handler done);

  // Answers a peer's state_request. `reply` is called on the control thread.
  void AnswerStateRequest(peer_reply reply);

  // The latest routing snapshot.
  const snapshot_publisher& snapshots() const;

  // The address of the heartbeat socket.
  const address& heartbeat_address() const;

 private:
  class impl;
  explicit control_loop(std::unique_ptr<impl> state);

  std::unique_ptr<impl> impl_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_CONTROL_LOOP_H_
