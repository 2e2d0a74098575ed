// A permit request that waits for a slot at an endpoint.

#ifndef BLUEBELL_PERMITS_WAITING_REQUEST_H_
#define BLUEBELL_PERMITS_WAITING_REQUEST_H_

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/permits/permit_message.h"

namespace bluebell {

struct waiting_request {
  permit_request message;
  // When the dispatcher received `message`.
  instant received;
  // The response-time objective of the caller. A later response is worth less.
  instant objective;
  // A response after this time is of no use.
  instant deadline;
  // The expected response time at an average endpoint.
  duration work{0};
  // The fencing token of the assignment of its key; zero for a request without
  // a key.
  epoch fence;

  // A request that starts after this time will probably miss its objective.
  instant LateAt() const;
  // A request that starts at this time or later is considered unable to be
  // answered before its deadline.
  instant InfeasibleAt() const;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_WAITING_REQUEST_H_
