// The final response to a caller's request, and the memory that it uses until
// the caller has room for all of it.

#ifndef BLUEBELL_PROXY_SERVED_RESPONSE_H_
#define BLUEBELL_PROXY_SERVED_RESPONSE_H_

#include "bluebell/core/byte_reservation.h"
#include "bluebell/http/http_message.h"

namespace bluebell {

struct served_response {
  http_response response;
  byte_reservation memory;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_SERVED_RESPONSE_H_
