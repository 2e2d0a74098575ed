// Decides, immediately before a write, whether this daemon may send a request
// to an endpoint instance, and under which ownership of its key.
//
//   order_permission may = CheckOrderPermission(*snapshot, instance, request,
//   hash, now);

#ifndef BLUEBELL_DISPATCHER_ORDER_PERMISSION_H_
#define BLUEBELL_DISPATCHER_ORDER_PERMISSION_H_

#include <optional>
#include <variant>

#include "bluebell/core/caller_request.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/core/request_outcome.h"
#include "bluebell/core/time.h"
#include "bluebell/routing/route.h"
#include "bluebell/routing/routing_snapshot.h"

namespace bluebell {

// The target to write to, or why the order may not be written.
using order_permission = std::variant<order_target, not_run>;

// `hash` is the hash of the request's key; no value for requests without a key.
order_permission CheckOrderPermission(const routing_snapshot& snapshot,
                                      const endpoint_instance& instance,
                                      const caller_request& request,
                                      std::optional<key_hash> hash,
                                      instant now);

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCHER_ORDER_PERMISSION_H_
