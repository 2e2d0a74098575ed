// Maps requests to the messages that forward them and back.

#ifndef BLUEBELL_ENTRY_FORWARD_MAPPING_H_
#define BLUEBELL_ENTRY_FORWARD_MAPPING_H_

#include "bluebell/core/caller_request.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/wire/forward_request.h"
#include "bluebell/wire/request_query.h"

namespace bluebell {

forward_request ToForward(const caller_request& request,
                          const endpoint_instance& endpoint,
                          instant now);

// Fails if the rank isn't one of the three.
result<caller_request> FromForward(const forward_request& message, instant now);

request_query QueryFor(const caller_request& request,
                       const endpoint_instance& endpoint);

}  // namespace bluebell

#endif  // BLUEBELL_ENTRY_FORWARD_MAPPING_H_
