// The lease requests that this daemon sends to endpoints: when the next one is
// due and what the endpoint's clock showed.
//
//   std::optional<send_lease_request> next = book.Next(endpoint, wanted, now);

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

class lease_book {
 public:
  explicit lease_book(const timing_settings& timing);

  // The request to send now, if one is due: after the renewal interval, or at
  // once if grants or revocations are new. At most one request to an endpoint
  // is on its way.
  std::optional<send_lease_request> Next(const wanted_leases& wanted,
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
    std::optional<wanted_leases> last_wanted;
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
