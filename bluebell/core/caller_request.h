// A caller's request after its checks, independent of how it arrived.

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
  // Present for every request to a service divided by key.
  std::optional<std::string> key;
  rank priority = rank::kNormal;
  caller_name caller;
  // On this process's clock. Between processes the rest of the budget travels.
  instant deadline;
  bool idempotent = false;
  // True if the caller chose the id, so that it may send the request again.
  bool id_from_caller = false;
  std::string method;
  // Path and query as the endpoint receives them.
  std::string target;
  std::vector<http_header> headers;
  std::string body;

  friend bool operator==(const caller_request&,
                         const caller_request&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CORE_CALLER_REQUEST_H_
