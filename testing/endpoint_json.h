// The JSON bodies of the endpoint protocol as an endpoint reads and writes
// them. It is separate from the daemons' code so that a mistake there shows.
//
//   result<lease_request> request = ParseEndpointLeases(body);
//   std::string body = EndpointReplyJson(endpoint.Handle(request.value(),
//   now));

#ifndef BLUEBELL_TESTING_ENDPOINT_JSON_H_
#define BLUEBELL_TESTING_ENDPOINT_JSON_H_

#include <optional>
#include <string>

#include "bluebell/core/result.h"
#include "bluebell/ownership/lease_reply.h"
#include "bluebell/ownership/lease_request.h"

namespace bluebell {

result<lease_request> ParseEndpointLeases(const std::string& text);
std::string EndpointReplyJson(const lease_reply& reply);

// What `POST /bluebell/faults` changes; empty fields stay as they are.
struct endpoint_faults {
  // The endpoint meant, on the port that serves all endpoints of the process.
  std::string endpoint;
  // True: nothing is read, run or answered until false.
  std::optional<bool> freeze;
  // Multiplies the service time.
  std::optional<double> slow;
  // True: the endpoint reports that it is idle.
  std::optional<bool> lie;
  // True: all connections are reset and new ones refused. False: a new run
  // begins, without leases.
  std::optional<bool> down;

  friend bool operator==(const endpoint_faults&,
                         const endpoint_faults&) = default;
};

result<endpoint_faults> ParseEndpointFaults(const std::string& text);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_ENDPOINT_JSON_H_
