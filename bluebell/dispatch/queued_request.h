// The properties of a request that an endpoint's queue uses. The request itself
// stays with the dispatcher.

#ifndef BLUEBELL_DISPATCH_QUEUED_REQUEST_H_
#define BLUEBELL_DISPATCH_QUEUED_REQUEST_H_

#include "bluebell/core/ids.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct queued_request {
  request_id id;
  rank priority = rank::kNormal;
  caller_name caller;
  instant deadline;
  instant submitted_at;

  friend bool operator==(const queued_request&,
                         const queued_request&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_QUEUED_REQUEST_H_
