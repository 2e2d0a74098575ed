// What a daemon asks of an endpoint: to hold leases for a while, to give up
// others. A request without either is a probe.

#ifndef BLUEBELL_OWNERSHIP_LEASE_REQUEST_H_
#define BLUEBELL_OWNERSHIP_LEASE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/ownership/lease.h"

namespace bluebell {

struct lease_request {
  // The endpoint refuses requests for another run of it. A run of zero is a
  // first probe, which any run answers.
  endpoint_instance to;
  // On the endpoint's monotonic clock. Applies to all of `granted`.
  std::int64_t expires_at_ns = 0;
  std::vector<lease> granted;
  // The endpoint gives up all overlapping leases of these epochs or lower and
  // refuses them from now on. It confirms once no request for them runs.
  std::vector<lease> revoked;

  friend bool operator==(const lease_request&, const lease_request&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_LEASE_REQUEST_H_
