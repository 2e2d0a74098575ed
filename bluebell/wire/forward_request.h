// A caller's request, forwarded by the entry daemon to the dispatcher of an
// endpoint.

#ifndef BLUEBELL_WIRE_FORWARD_REQUEST_H_
#define BLUEBELL_WIRE_FORWARD_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "bluebell/core/http_header.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/request_id.h"

namespace bluebell {

struct forward_request {
  request_id id;
  service_name service;
  std::optional<std::string> key;
  std::uint8_t priority = 0;
  caller_name caller;
  // Time until the deadline when the message is written.
  std::int64_t budget_us = 0;
  bool idempotent = false;
  bool id_from_caller = false;
  // The endpoint that the entry daemon routed the request to: the owner of the
  // key or, for a service that isn't keyed, the one that it chose.
  endpoint_instance endpoint;
  std::string method;
  std::string target;
  std::vector<http_header> headers;
  std::string body;

  friend bool operator==(const forward_request&,
                         const forward_request&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, service, key, priority, caller, budget_us, idempotent,
            id_from_caller, endpoint, method, target, headers, body);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_FORWARD_REQUEST_H_
