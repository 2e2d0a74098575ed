// The lease requests that this daemon sends to endpoints: when the next one is
// due and what the endpoint's clock showed.
//
//   if (book.IsDue(endpoint, basis, now)) {
//     actions.push_back(book.Send(wanted, basis, now));
//   }

#ifndef BLUEBELL_CONTROL_LEASE_BOOK_H_
#define BLUEBELL_CONTROL_LEASE_BOOK_H_

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

// What an endpoint instance is to be told.
struct wanted_leases {
  endpoint_instance to;
  address where;
  // Empty if this daemon may not renew.
  std::vector<lease> granted;
  std::vector<lease> revoked;

  friend bool operator==(const wanted_leases&, const wanted_leases&) = default;
};

// What the wanted leases of an endpoint follow from.
struct lease_basis {
  table_version version;
  bool may_renew = false;
  // True while the endpoint has revocations to confirm.
  bool revokes = false;

  friend bool operator==(const lease_basis&, const lease_basis&) = default;
};

class lease_book {
 public:
  explicit lease_book(const timing_settings& timing);

  // Whether a request should be sent now: after the renewal interval, at once
  // if `basis`, from which the wanted leases follow, isn't that of the last
  // request, and at once after a failure. At most one request to an endpoint is
  // on its way.
  bool IsDue(const endpoint_id& endpoint,
             const lease_basis& basis,
             instant now) const;

  // Precondition: IsDue.
  send_lease_request Send(const wanted_leases& wanted,
                          const lease_basis& basis,
                          instant now);

  // Records the end of a request.
  void Finish(const endpoint_id& endpoint, const lease_reply* reply);

  // Whether the endpoint instance confirmed that it holds no lease of this or
  // a lower epoch in the range any more.
  bool IsRevoked(const endpoint_instance& instance, const lease& what) const;

  // Forgets endpoints that are not in `current`.
  void Keep(const std::set<endpoint_id>& current);

 private:
  struct entry {
    bool in_flight = false;
    std::optional<instant> last_sent;
    std::optional<lease_basis> last_basis;
    // The instance that answered last and its clock.
    std::optional<endpoint_instance> instance;
    std::int64_t clock_ns = 0;
    std::set<lease> revoked;
  };

  const timing_settings timing_;
  std::map<endpoint_id, entry> entries_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_LEASE_BOOK_H_
