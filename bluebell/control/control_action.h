// The actions that the control state returns for execution: store calls,
// messages, log lines and answers. Their results come back as control events.

#ifndef BLUEBELL_CONTROL_CONTROL_ACTION_H_
#define BLUEBELL_CONTROL_CONTROL_ACTION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "bluebell/control/operator_command.h"
#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/membership/heartbeat.h"
#include "bluebell/ownership/lease_request.h"
#include "bluebell/routing/routing_snapshot.h"

namespace bluebell {

// Reads the value of `key`. Ends with store_read_done.
struct read_store {
  std::string key;
};

// Replaces the value of `key` if its version is still `expected`. `change`
// identifies the write. Ends with store_write_done.
struct write_store {
  std::string key;
  std::string value;
  store_version expected;
  change_id change;
};

// Reads the platform's list of hosts. Ends with hosts_read_done.
struct read_hosts {};

// Sends a lease request to an endpoint. Ends with lease_request_done.
struct send_lease_request {
  address where;
  lease_request request;
};

struct send_heartbeat {
  address to;
  heartbeat message;
};

// Requests configuration, tables, host list and load from a peer over TCP. An
// answer arrives as peer_state_received.
struct fetch_state {
  daemon_id peer;
  address where;
};

// Passes a new snapshot to the traffic threads.
struct publish_snapshot {
  std::shared_ptr<const routing_snapshot> snapshot;
};

// Writes one log line, for example for a placement decision.
struct log_decision {
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

// Reports that an invariant of the control state does not hold. It is counted
// and logged.
struct report_violation {
  std::string invariant;
  std::string state;
};

// Answers the operator's command that came with `token`.
struct answer_operator {
  std::uint64_t token = 0;
  operator_reply reply;
};

using control_action = std::variant<read_store,
                                    write_store,
                                    read_hosts,
                                    send_lease_request,
                                    send_heartbeat,
                                    fetch_state,
                                    publish_snapshot,
                                    log_decision,
                                    report_violation,
                                    answer_operator>;

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_CONTROL_ACTION_H_
