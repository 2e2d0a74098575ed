// The events that a daemon's control state handles.

#ifndef BLUEBELL_CONTROL_CONTROL_EVENT_H_
#define BLUEBELL_CONTROL_CONTROL_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/control/operator_command.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/membership/heartbeat.h"
#include "bluebell/ownership/lease_reply.h"
#include "bluebell/placement/slice_load.h"
#include "bluebell/store/host_entry.h"
#include "bluebell/store/store_value.h"
#include "bluebell/store/write_result.h"

namespace bluebell {

// Triggers periodic work. Sent every kControlTickInterval.
struct tick {};

inline constexpr milliseconds kControlTickInterval{20};

struct store_read_done {
  std::string key;
  // When the read was sent. The result was current at some moment after that.
  instant sent_at;
  result<store_value> value;
};

struct store_write_done {
  std::string key;
  change_id change;
  write_result outcome;
};

struct hosts_read_done {
  result<std::vector<host_entry>> hosts;
};

struct lease_request_done {
  endpoint_id endpoint;
  address where;
  instant sent_at;
  result<lease_reply> reply;
};

struct heartbeat_received {
  heartbeat message;
};

// A peer's answer to fetch_state. Configuration and tables are in the form in
// which they are stored.
struct peer_state_received {
  daemon_id peer;
  std::optional<std::string> config;
  std::vector<std::string> tables;
  std::vector<host_entry> hosts;
  load_report load;
};

// The result of a traffic thread's exchange with an endpoint.
struct exchange_observed {
  endpoint_instance instance;
  bool answered = false;
  // True if the endpoint refused the order because it is draining.
  bool draining = false;
};

// The load that the traffic threads of this daemon measured in a period.
struct load_measured {
  load_report load;
};

// An operator's command. It is answered by answer_operator with `token`.
struct operator_asked {
  std::uint64_t token = 0;
  operator_command command;
};

// The process is about to stop.
struct stop_requested {};

using control_event = std::variant<tick,
                                   store_read_done,
                                   store_write_done,
                                   hosts_read_done,
                                   lease_request_done,
                                   heartbeat_received,
                                   peer_state_received,
                                   exchange_observed,
                                   load_measured,
                                   operator_asked,
                                   stop_requested>;

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_CONTROL_EVENT_H_
