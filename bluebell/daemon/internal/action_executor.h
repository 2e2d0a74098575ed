// Executes the actions of the control state, with one overload for each action.
// Delivers their results as control events. Used on the control thread only.

#ifndef BLUEBELL_DAEMON_INTERNAL_ACTION_EXECUTOR_H_
#define BLUEBELL_DAEMON_INTERNAL_ACTION_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

#include "bluebell/control/control_action.h"
#include "bluebell/control/control_event.h"
#include "bluebell/daemon/control_loop.h"
#include "bluebell/daemon/internal/lease_sender.h"
#include "bluebell/peer/heartbeat_socket.h"
#include "bluebell/peer/peer_link.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {

class action_executor {
 public:
  // Receives the results. Never called while an action is being executed.
  using event_handler = std::function<void(const control_event&)>;

  action_executor(boost::asio::io_context& io,
                  daemon_id self,
                  const control_loop_options& options,
                  platform_client platform,
                  event_handler deliver,
                  metrics_registry& metrics);

  // Sets the socket for heartbeats. Must be called before the first action.
  void UseSocket(heartbeat_socket& socket) { socket_ = &socket; }

  // Returns a new token. `done` gets the answer to the command with this token.
  std::uint64_t RegisterOperator(control_loop::operator_reply_handler done);

  // Closes connections that have not been used for a minute.
  void Sweep(instant now);

  const snapshot_publisher& snapshots() const { return snapshots_; }

  void operator()(const read_store& action);
  void operator()(const write_store& action);
  void operator()(const read_hosts& action);
  void operator()(const send_lease_request& action);
  void operator()(const send_heartbeat& action);
  void operator()(const fetch_state& action);
  void operator()(const publish_snapshot& action);
  void operator()(const log_decision& action);
  void operator()(const report_violation& action);
  void operator()(const answer_operator& action);

 private:
  struct peer_entry {
    std::unique_ptr<peer_link> link;
    bool busy = false;
    instant last_used;
  };

  void DeliverState(const fetch_state& fetch,
                    const result<wire_message>& reply);

  boost::asio::io_context& io_;
  daemon_id self_;
  control_loop_options options_;
  platform_client platform_;
  event_handler deliver_;
  metrics_registry& metrics_;
  lease_sender leases_;
  heartbeat_socket* socket_ = nullptr;
  std::map<address, peer_entry> peers_;
  std::map<std::uint64_t, control_loop::operator_reply_handler> reply_handlers_;
  std::uint64_t last_token_ = 0;
  snapshot_publisher snapshots_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DAEMON_INTERNAL_ACTION_EXECUTOR_H_
