// An endpoint's answer to a lease request, with its condition and load.

#ifndef BLUEBELL_OWNERSHIP_LEASE_REPLY_H_
#define BLUEBELL_OWNERSHIP_LEASE_REPLY_H_

#include <cstdint>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/ownership/lease.h"

namespace bluebell {

struct lease_reply {
  endpoint_instance from;
  // The endpoint's monotonic clock when it answered, in nanoseconds.
  std::int64_t clock_ns = 0;
  // The endpoint takes no new work.
  bool draining = false;
  // Requests that are running and waiting at the endpoint, and the number that
  // it can run at a time.
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  // The requested leases that the endpoint refused because it knows a higher
  // epoch.
  std::vector<lease> refused;
  // The revocations that are complete: no request under these leases runs.
  std::vector<lease> revoked;

  friend bool operator==(const lease_reply&, const lease_reply&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_LEASE_REPLY_H_
