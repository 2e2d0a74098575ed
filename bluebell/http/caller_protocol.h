// Maps callers' HTTP messages to requests and outcomes to HTTP responses.
//
//   result<caller_request> request =
//       ParseCallerRequest(std::move(message), lookup, arrival);
//   if (!request) {
//     return RefusalResponse(request.error(), context);
//   }

#ifndef BLUEBELL_HTTP_CALLER_PROTOCOL_H_
#define BLUEBELL_HTTP_CALLER_PROTOCOL_H_

#include <array>
#include <cstdint>
#include <functional>
#include <optional>

#include "bluebell/core/caller_request.h"
#include "bluebell/core/error.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/request_outcome.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

// What a service asks of its requests.
struct service_terms {
  bool keyed = true;
  std::array<milliseconds, kRanks.size()> default_deadline = {};
  std::array<milliseconds, kRanks.size()> max_deadline = {};

  friend bool operator==(const service_terms&, const service_terms&) = default;
};

// Empty if there is no such service.
using service_lookup =
    std::function<std::optional<service_terms>(const service_name& service,
                                               const caller_name& caller)>;

// When a request arrived, and random bits for its id if it names none.
struct request_arrival {
  instant at;
  wall_instant wall_at;
  std::array<std::uint64_t, 2> random = {};
};

// What the response depends on besides the outcome.
struct response_context {
  unsigned http_version = 11;
  bool keep_alive = true;
  // A response to HEAD has no body, whatever its length header says.
  bool head = false;
  std::optional<request_id> id;

  friend bool operator==(const response_context&,
                         const response_context&) = default;
};

// Fails with errc::kInvalidArgument for bad input, errc::kNotFound for an
// unknown service and errc::kTimeout for a budget that is used up on arrival.
// A budget above the service's maximum is cut to it.
result<caller_request> ParseCallerRequest(http_request message,
                                          const service_lookup& lookup,
                                          const request_arrival& arrival);

// The outcome that stands for a request that could not be read or was refused
// on arrival. It was not run.
not_run RefusalOf(const error& failure);

// The response for `outcome`. A response to HEAD has an empty body and the
// length that the endpoint gave.
http_response CallerResponse(const request_outcome& outcome,
                             const response_context& context);

// The response to a message that is refused before it is a request, with the
// status that stands for the error (400, 404, 413, 431 or 503).
http_response RefusalResponse(const error& failure,
                              const response_context& context);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_CALLER_PROTOCOL_H_
