// Maps a request to the position in the hash space whose owner is the only
// endpoint that may run it.
//
//   std::optional<key_hash> hash = OwnershipHash(routes.spec, request);

#ifndef BLUEBELL_ROUTING_OWNERSHIP_HASH_H_
#define BLUEBELL_ROUTING_OWNERSHIP_HASH_H_

#include <optional>

#include "bluebell/core/caller_request.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/core/service_spec.h"

namespace bluebell {

// Returns the hash of the key if the service is divided by key, and the hash of
// the request id if it is not and the request is not idempotent. A repeat of
// such a request then reaches the endpoint that may have run the first copy,
// and ownership prevents two endpoints from running both. Returns nullopt if
// any endpoint may run the request, or if the service needs a key and the
// request has none. Thread-safe.
std::optional<key_hash> OwnershipHash(const service_spec& spec,
                                      const caller_request& request);

}  // namespace bluebell

#endif  // BLUEBELL_ROUTING_OWNERSHIP_HASH_H_
