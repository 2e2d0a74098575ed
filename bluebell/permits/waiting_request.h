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
  // True once it has been admitted to a queue. It then stays admitted when it
  // moves to another one.
  bool is_admitted = false;
  // The multiple of the mean work that must fit between the start and the
  // objective. Most requests of a route take no longer than 1.5 times the mean.
  double on_time_work_factor = 1.5;

  // A request that starts after this time will probably miss its objective.
  instant LateAt() const;
  // A request that starts at this time or later is considered unable to be
  // answered before its deadline.
  instant InfeasibleAt() const;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_WAITING_REQUEST_H_
