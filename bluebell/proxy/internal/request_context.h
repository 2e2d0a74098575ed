// What a request server knows of a request while it serves it.

#ifndef BLUEBELL_PROXY_INTERNAL_REQUEST_CONTEXT_H_
#define BLUEBELL_PROXY_INTERNAL_REQUEST_CONTEXT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/http/http_message.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/proxy/attempt_policy.h"
#include "bluebell/proxy/request_server.h"
#include "platform/proxy_headers.h"

namespace bluebell {

inline constexpr unsigned kUnavailable = 503;

// The Retry-After time of refusals that no dispatcher has given a time for.
inline constexpr milliseconds kDefaultRetryAfter{500};

struct request_server::request_context {
  const http_request* request = nullptr;
  platform::caller_headers call;
  fleet_view view;
  const service_route* route = nullptr;
  service_name service;
  instant arrived;
  request_progress progress;
  // Endpoints where an attempt of this request failed.
  std::vector<endpoint_id> excluded_endpoints;
  // The last attempt, for the log. `permit_wait` is the sum over all attempts.
  std::string endpoint;
  // The status of the endpoint's response, zero without one, and what ties the
  // response to the attempt.
  unsigned endpoint_status = 0;
  std::string_view match;
  std::string reason;
  // True if a dispatcher with scheduled admission gave the retry time. It has
  // spread the times of its callers already.
  bool is_retry_scheduled = false;
  permit_id permit;
  // The dispatcher's revision of the endpoints when it granted the permit.
  std::uint64_t permit_revision = 0;
  std::string dispatcher;
  duration permit_wait{0};
  duration elapsed{0};
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_INTERNAL_REQUEST_CONTEXT_H_
