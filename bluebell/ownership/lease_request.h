// A daemon's request to an endpoint: grants or renews leases until an expiry
// and revokes others. A request without leases is a probe.

#ifndef BLUEBELL_OWNERSHIP_LEASE_REQUEST_H_
#define BLUEBELL_OWNERSHIP_LEASE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/ownership/lease.h"

namespace bluebell {

struct lease_request {
  // The endpoint refuses requests for another run than its own. Zero as the run
  // marks a first probe, which every run answers.
  endpoint_instance to;
  // When all of `granted` expire, in nanoseconds of the endpoint's monotonic
  // clock.
  std::int64_t expires_at_ns = 0;
  std::vector<lease> granted;
  // The endpoint ends all overlapping leases of these epochs or lower and
  // refuses them from now on. It confirms a revocation once no request under
  // such a lease runs.
  std::vector<lease> revoked;

  friend bool operator==(const lease_request&, const lease_request&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_LEASE_REQUEST_H_
