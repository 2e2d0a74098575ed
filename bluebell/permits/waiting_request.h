// A request that waits for a slot.

#ifndef BLUEBELL_PERMITS_WAITING_REQUEST_H_
#define BLUEBELL_PERMITS_WAITING_REQUEST_H_

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/permits/permit_message.h"

namespace bluebell {

struct waiting_request {
  permit_ask ask;
  // A response after this time is worth less.
  instant objective;
  // No response after this time is of use.
  instant deadline;
  // How long it takes at an endpoint of average speed.
  duration work{0};
  // The assignment of its key; zero for a request without an owner.
  epoch fence;

  // Up to then it will probably be answered within its objective.
  instant LateAt() const;
  // From then on it can't be answered before its deadline.
  instant HopelessAt() const;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_WAITING_REQUEST_H_
