// What a run of the gateway saw from outside: the callers' requests and the
// endpoints' executions.

#ifndef TESTING_GATEWAY_SOAK_RECORD_H_
#define TESTING_GATEWAY_SOAK_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

// One attempt of a caller.
struct sent_request {
  std::string id;
  // The daemon's process that its connection was opened to.
  std::uint64_t process = 0;
  bool idempotent = false;
  // The route that the operator moves between services.
  bool on_moved_route = false;
  instant sent;
  // Empty while nothing has come back.
  std::optional<instant> ended;
  // Zero: the connection ended without a whole answer.
  unsigned status = 0;
  std::string answered_id;
  std::string signature;
  std::string body;
};

// One execution at an endpoint.
struct request_execution {
  std::string id;
  std::string endpoint;
  std::string service;
  instant begun;
  // Empty if the endpoint ended before it had answered.
  std::optional<instant> answered;
  unsigned status = 0;
  std::string signature;
  std::string body;
  std::optional<shard_key> key;
  // Which process of the endpoint.
  std::uint64_t life = 0;
};

// A grant that an endpoint took without delay.
struct key_handover {
  std::string endpoint;
  key_range range;
  instant taken;
};

// A configuration that the operator wrote: the service of the moved route.
struct written_config {
  std::uint64_t version = 0;
  std::string service;
  instant confirmed;
};

// A request that reached an endpoint long after it had announced that it
// leaves.
struct late_arrival {
  std::string id;
  std::string endpoint;
  instant announced;
  instant arrived;
};

struct time_span {
  instant from;
  instant until;

  bool Overlaps(instant first, instant last) const {
    return from <= last && first <= until;
  }
};

struct soak_record {
  std::vector<sent_request> requests;
  std::vector<request_execution> executions;
  std::vector<key_handover> handovers;
  std::vector<written_config> configs;
  std::vector<late_arrival> late_arrivals;
  // When something unplanned disturbed the daemons, the store or the network.
  std::vector<time_span> disturbances;
  // Found while the run went on: keys with two holders, or given on too soon.
  std::vector<std::string> violations;
  instant healed;
  instant ended;
};

}  // namespace bluebell

#endif  // TESTING_GATEWAY_SOAK_RECORD_H_
