// How the sending of a request to an endpoint ended.

#ifndef BLUEBELL_PROXY_EXCHANGE_END_H_
#define BLUEBELL_PROXY_EXCHANGE_END_H_

#include <variant>

#include "bluebell/core/error.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_message.h"
#include "platform/proxy_headers.h"

namespace bluebell {

// A whole response to this request.
struct exchange_answered {
  http_response response;
  platform::endpoint_reply about;
  duration took{0};
};

// No byte was sent: the request has not run.
struct exchange_unsent {
  error why;
};

// The request may have run.
struct exchange_lost {
  error why;
  duration took{0};
};

using exchange_end =
    std::variant<exchange_answered, exchange_unsent, exchange_lost>;

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_EXCHANGE_END_H_
