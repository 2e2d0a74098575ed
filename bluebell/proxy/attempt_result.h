// How one attempt of a request ended, read from its exchange with the endpoint.
// The functions have no state and are thread-safe.
//
//   attempt_result result = ResultOf(exchange, progress.idempotent);

#ifndef BLUEBELL_PROXY_ATTEMPT_RESULT_H_
#define BLUEBELL_PROXY_ATTEMPT_RESULT_H_

#include <cstdint>
#include <string_view>

#include "bluebell/permits/permit_message.h"
#include "bluebell/proxy/exchange_result.h"

namespace bluebell {

// How one attempt of a request ended.
enum class attempt_result : std::uint8_t {
  // A complete response with a status below 500. A 2xx response has the
  // endpoint's receipt for its body.
  kAnswered,
  // A complete response with a status of 500 or more; the request has run.
  kFailed,
  // A complete response that is never relayed to the caller and proves nothing:
  // a 2xx response without the endpoint's receipt for its body, or one that may
  // belong to no request.
  kUnconfirmed,
  // A complete response whose status means that the request did not run, but
  // without the endpoint's statement that this is so. It may have run.
  kUnprovenRefusal,
  // The endpoint states that it did not run the request.
  kNotRun,
  // Nothing was sent: the connection failed, or this daemon knows that the
  // endpoint is not in service.
  kUnsent,
  // The request was sent, at least in part, and no complete response arrived.
  // It is unknown whether the request ran.
  kLost,
};

std::string_view Describe(attempt_result result);

// Returns how an attempt of an idempotent or other request ended. Bytes that
// belong to no request can look like a response without an id. So a response
// that nothing ties to the attempt is never relayed, and only one that names
// the attempt proves that a non-idempotent request has not run.
attempt_result ResultOf(const exchange_result& exchange, bool idempotent);

// What the dispatcher is told of the attempt.
permit_outcome OutcomeOf(const exchange_result& exchange,
                         attempt_result result);

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_ATTEMPT_RESULT_H_
