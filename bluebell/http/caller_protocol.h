// Maps callers' HTTP messages to requests, and outcomes to HTTP responses.
// Functions without state, for any thread.
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

// The rules of a service for its requests.
struct service_terms {
  // Requests must have a key.
  bool keyed = true;
  // Both for each rank: the time allowed to a request that names none, and the
  // longest time that a request may name.
  std::array<milliseconds, kRanks.size()> default_deadline = {};
  std::array<milliseconds, kRanks.size()> max_deadline = {};

  friend bool operator==(const service_terms&, const service_terms&) = default;
};

// Finds the rules of a service for requests of `caller`. Nothing if there is no
// such service.
using service_lookup =
    std::function<std::optional<service_terms>(const service_name& service,
                                               const caller_name& caller)>;

// When a request arrived on both clocks, and random bits for the id that it
// gets if it names none.
struct request_arrival {
  instant at;
  wall_instant wall_at;
  std::array<std::uint64_t, 2> random = {};
};

// The properties of a request that its response depends on.
struct response_context {
  // Ten times the major version plus the minor one.
  unsigned http_version = 11;
  bool keep_alive = true;
  // The method is HEAD. The response has no body, whatever its length header
  // says.
  bool head = false;
  // Nothing if the request couldn't be read that far.
  std::optional<request_id> id;

  friend bool operator==(const response_context&,
                         const response_context&) = default;
};

// Reads a caller's request. Fails with errc::kInvalidArgument for invalid
// input, errc::kNotFound for an unknown service and errc::kTimeout if the named
// time is zero. A time above the service's maximum is reduced to it.
result<caller_request> ParseCallerRequest(http_request message,
                                          const service_lookup& lookup,
                                          const request_arrival& arrival);

// The outcome of a request that couldn't be read or was refused on arrival, and
// therefore wasn't run.
not_run RefusalOf(const error& failure);

// The response for `outcome`. A response to HEAD has an empty body and the
// length header of the endpoint's response.
http_response CallerResponse(const request_outcome& outcome,
                             const response_context& context);

// The response to a message that is refused before it is read as a request. The
// error determines the status: 400, 404, 413, 431 or 503.
http_response RefusalResponse(const error& failure,
                              const response_context& context);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_CALLER_PROTOCOL_H_
