// The routing data of one service: its slices with their owners, and its
// endpoints. Part of a routing_snapshot, so it doesn't change once published.
//
//   const slice_route* slice = routes.FindSlice(hash);

#ifndef BLUEBELL_ROUTING_SERVICE_ROUTES_H_
#define BLUEBELL_ROUTING_SERVICE_ROUTES_H_

#include <optional>
#include <vector>

#include "bluebell/config/policy_values.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/service_spec.h"
#include "bluebell/core/time.h"
#include "bluebell/placement/slice_range.h"
#include "bluebell/routing/endpoint_entry.h"

namespace bluebell {

// A slice of the service's hash space and the endpoint that owns it.
struct slice_route {
  slice_range range;
  // The epoch of the ownership.
  epoch at;
  // Empty while the slice has no owner.
  std::optional<endpoint_instance> owner;
  // When this daemon first saw the current owner of the slice. Requests issued
  // before that may have run at another endpoint.
  instant owner_since;
  // True while a planned move transfers the slice to a new owner. Requests wait
  // for the new owner instead of being refused.
  bool in_planned_move = false;
  // When the permission of this daemon to write requests for this slice to its
  // owner expires. Only used if the service doesn't check epochs.
  instant may_write_until;

  friend bool operator==(const slice_route&, const slice_route&) = default;
};

struct service_routes {
  service_spec spec;
  policy_values values;
  table_version version;
  // Sorted by range.
  std::vector<slice_route> slices;
  // Sorted by instance.
  std::vector<endpoint_entry> endpoints;

  // Null if no slice contains the hash.
  const slice_route* FindSlice(key_hash hash) const;
  // Null if the instance is unknown, also if another run of its endpoint is
  // listed.
  const endpoint_entry* FindEndpoint(const endpoint_instance& instance) const;

  friend bool operator==(const service_routes&,
                         const service_routes&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_ROUTING_SERVICE_ROUTES_H_
