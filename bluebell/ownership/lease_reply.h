// An endpoint's answer to a lease request, with its report on itself.

#ifndef BLUEBELL_OWNERSHIP_LEASE_REPLY_H_
#define BLUEBELL_OWNERSHIP_LEASE_REPLY_H_

#include <cstdint>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/ownership/lease.h"

namespace bluebell {

struct lease_reply {
  endpoint_instance from;
  // The endpoint's monotonic clock when it answered.
  std::int64_t clock_ns = 0;
  bool draining = false;
  std::uint32_t in_flight = 0;
  std::uint32_t queued = 0;
  std::uint32_t slots = 0;
  // The granted leases that the endpoint refused, since it knows a higher
  // epoch.
  std::vector<lease> refused;
  // The revocations that are complete.
  std::vector<lease> revoked;

  friend bool operator==(const lease_reply&, const lease_reply&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_LEASE_REPLY_H_
