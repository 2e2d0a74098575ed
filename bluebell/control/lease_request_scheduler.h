// Schedules the lease requests that this daemon sends to endpoints, and records
// the clock readings and confirmed revocations from their replies.
//
//   if (scheduler.IsDue(endpoint, basis, now)) {
//     actions.push_back(scheduler.StartRequest(wanted, basis, now));
//   }

#ifndef BLUEBELL_CONTROL_LEASE_REQUEST_SCHEDULER_H_
#define BLUEBELL_CONTROL_LEASE_REQUEST_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "bluebell/control/control_action.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/ownership/lease.h"
#include "bluebell/ownership/lease_reply.h"
#include "bluebell/settings/timing_settings.h"

namespace bluebell {

// The leases to grant to an endpoint instance and those to revoke.
struct wanted_leases {
  endpoint_instance to;
  address where;
  // Empty if this daemon may not renew leases.
  std::vector<lease> granted;
  std::vector<lease> revoked;

  friend bool operator==(const wanted_leases&, const wanted_leases&) = default;
};

// The state from which the wanted leases of an endpoint are derived. A change
// makes a new request due.
struct lease_basis {
  table_version version;
  bool may_renew = false;
  // True while this daemon has to ask the endpoint for revocations.
  bool has_revocations = false;

  friend bool operator==(const lease_basis&, const lease_basis&) = default;
};

class lease_request_scheduler {
 public:
  explicit lease_request_scheduler(const timing_settings& timing);

  // Whether a request to the endpoint should be sent now. That is so after the
  // renewal interval, and at once if `basis` differs from that of the last
  // request, has revocations, or the last request failed. Never true while a
  // request to the endpoint is in flight.
  bool IsDue(const endpoint_id& endpoint,
             const lease_basis& basis,
             instant now) const;

  // Marks a request as in flight and returns it. Leases are granted only if a
  // clock reading of the instance is known, since their expiry is a time on the
  // endpoint's clock. Precondition: IsDue.
  send_lease_request StartRequest(const wanted_leases& wanted,
                                  const lease_basis& basis,
                                  instant now);

  // Records the end of a request. `reply` is null if it failed.
  void FinishRequest(const endpoint_id& endpoint, const lease_reply* reply);

  // Whether the endpoint instance confirmed that it no longer holds a lease of
  // the epoch of `what` or a lower one in the range of `what`.
  bool IsRevoked(const endpoint_instance& instance, const lease& what) const;

  // Removes the records of endpoints that are not in `current`.
  void RetainOnly(const std::set<endpoint_id>& current);

 private:
  struct entry {
    bool in_flight = false;
    std::optional<instant> last_sent;
    std::optional<lease_basis> last_basis;
    // The instance that answered last and the latest reading of its monotonic
    // clock.
    std::optional<endpoint_instance> instance;
    std::int64_t clock_ns = 0;
    std::set<lease> revoked;
  };

  const timing_settings timing_;
  std::map<endpoint_id, entry> entries_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_LEASE_REQUEST_SCHEDULER_H_
