// A validated request of a caller, independent of the protocol by which it
// arrived.

#ifndef BLUEBELL_CORE_CALLER_REQUEST_H_
#define BLUEBELL_CORE_CALLER_REQUEST_H_

#include <optional>
#include <string>
#include <vector>

#include "bluebell/core/http_header.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct caller_request {
  request_id id;
  service_name service;
  // Set for every request to a keyed service.
  std::optional<std::string> key;
  rank priority = rank::kNormal;
  caller_name caller;
  // On this process's clock. Messages to other processes carry the remaining
  // time instead.
  instant deadline;
  // True if the request may run more than once.
  bool idempotent = false;
  // True if the caller chose the id. It can then send the request again under
  // the same id.
  bool id_from_caller = false;
  std::string method;
  // The path and query that the endpoint receives.
  std::string target;
  std::vector<http_header> headers;
  std::string body;

  friend bool operator==(const caller_request&,
                         const caller_request&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CORE_CALLER_REQUEST_H_
