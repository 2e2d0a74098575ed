#include "bluebell/routing/ownership_hash.h"

namespace bluebell {

std::optional<key_hash> OwnershipHash(const service_spec& spec,
                                      const caller_request& request) {
  if (request.key && spec.keyed) {
    return HashKey(spec.name, *request.key);
  }
  if (!spec.keyed && !request.idempotent) {
    return HashKey(spec.name, request.id.ToString());
  }
  return std::nullopt;
}

}  // namespace bluebell
