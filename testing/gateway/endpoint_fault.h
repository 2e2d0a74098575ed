// How a faulty endpoint treats a share of its requests.
//
//   endpoint_fault fault = fail_work{{503}, 0.3};

#ifndef TESTING_GATEWAY_ENDPOINT_FAULT_H_
#define TESTING_GATEWAY_ENDPOINT_FAULT_H_

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/core/time.h"
#include "testing/response_fault.h"

namespace bluebell {

// One of `kinds` is applied to a response, also to one to an order about keys.
struct spoil_responses {
  std::vector<response_fault> kinds;
  double share = 0;

  friend bool operator==(const spoil_responses&,
                         const spoil_responses&) = default;
};

// The endpoint runs the request and answers with one of `statuses`. The
// response doesn't state that the request has not run.
struct fail_work {
  std::vector<unsigned> statuses;
  double share = 0;

  friend bool operator==(const fail_work&, const fail_work&) = default;
};

// The endpoint states that it has not run the request. The response names the
// attempt or not.
struct turn_work_away {
  bool names_attempt = false;
  double share = 0;
  unsigned status = 503;

  friend bool operator==(const turn_work_away&,
                         const turn_work_away&) = default;
};

// Requests take up to `longest`, and the endpoint fills up. It rejects a
// request that finds no place, or never answers it nor any later one on that
// connection.
struct slow_work {
  milliseconds longest{0};
  bool rejects_when_full = true;
  double share = 0;

  friend bool operator==(const slow_work&, const slow_work&) = default;
};

// Connections beyond `most` are reset.
struct limit_connections {
  std::size_t most = 0;

  friend bool operator==(const limit_connections&,
                         const limit_connections&) = default;
};

using endpoint_fault = std::variant<spoil_responses,
                                    fail_work,
                                    turn_work_away,
                                    slow_work,
                                    limit_connections>;

struct named_endpoint_fault {
  std::string name;
  endpoint_fault fault;

  friend bool operator==(const named_endpoint_fault&,
                         const named_endpoint_fault&) = default;
};

// The figures of the faults that a run draws at random.
struct endpoint_fault_draw {
  // Bytes that belong to no request come this long after a response.
  milliseconds extra_delay{0};
  // The size of truncated responses.
  std::size_t truncated_bytes = 0;

  friend bool operator==(const endpoint_fault_draw&,
                         const endpoint_fault_draw&) = default;
};

// Faults of responses: spoiled, false or of no request.
std::vector<named_endpoint_fault> ResponseFaults(
    const endpoint_fault_draw& draw);

// Those, and faults of connections, of time and of room.
std::vector<named_endpoint_fault> AllEndpointFaults(
    const endpoint_fault_draw& draw);

}  // namespace bluebell

#endif  // TESTING_GATEWAY_ENDPOINT_FAULT_H_
