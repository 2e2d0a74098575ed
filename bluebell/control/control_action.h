// All that the control state asks its surroundings to do.

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

struct read_store {
  std::string key;
};

struct write_store {
  std::string key;
  std::string value;
  store_version expected;
  change_id change;
};

struct read_hosts {};

struct send_lease_request {
  address where;
  lease_request request;
};

struct send_heartbeat {
  address to;
  heartbeat message;
};

// Ask a peer over TCP for its configuration, tables and load.
struct fetch_state {
  daemon_id peer;
  address where;
};

// Hand a new snapshot to the traffic threads.
struct publish_snapshot {
  std::shared_ptr<const routing_snapshot> snapshot;
};

// One line in the log for a placement decision. Values are text.
struct log_decision {
  std::string message;
  std::vector<std::pair<std::string, std::string>> fields;
};

// An invariant of the control state does not hold. Counted and logged.
struct report_violation {
  std::string invariant;
  std::string state;
};

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
