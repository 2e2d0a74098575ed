// The result of sending one request to an endpoint. See
// endpoint_connection_pool::Send.

#ifndef BLUEBELL_PROXY_EXCHANGE_RESULT_H_
#define BLUEBELL_PROXY_EXCHANGE_RESULT_H_

#include <variant>

#include "bluebell/core/byte_reservation.h"
#include "bluebell/core/error.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"
#include "bluebell/proxy/attempt_history.h"
#include "platform/proxy_headers.h"

namespace bluebell {

// A complete response to this request arrived.
struct exchange_answered {
  http_response response;
  // What the headers of the response state.
  platform::endpoint_reply reply_info;
  response_match match = response_match::kNamed;
  // From the call of Send() to the end of the response.
  duration elapsed{0};
  // The memory of the response.
  byte_reservation memory;
};

// Nothing was sent, so the request did not run.
struct exchange_unsent {
  error cause;
};

// The request was sent, at least in part, and no complete response arrived. It
// may have run. The code of the cause is errc::kTooLarge if this daemon had no
// memory left for the response.
struct exchange_lost {
  error cause;
  // From the call of Send() to the failure.
  duration elapsed{0};
};

using exchange_result =
    std::variant<exchange_answered, exchange_unsent, exchange_lost>;

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_EXCHANGE_RESULT_H_
