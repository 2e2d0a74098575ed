// The time until which a daemon may renew leases under its copy of a placement
// table.
//
// A daemon may renew while one of these conditions is true:
// - fresh: the last proof that its table is current is younger than
//   table_freshness;
// - domain autonomy: the last proof is younger than domain_autonomy, and a
//   majority of its domain's roster supported its version within
//   table_freshness;
// - region autonomy: the last proof is younger than region_autonomy, and
//   majorities of the rosters of most domains, its own among them, supported
//   its version within table_freshness.
// A daemon that knows of a newer table, or isn't on the roster, never renews.
// renewal_exclusion.h relies on these rules.
//
//   const renewal_limit limit =
//       RenewalLimit(replica, peers, self, domain, timing, now);
//   if (now < limit.until) { Renew(); }

#ifndef BLUEBELL_OWNERSHIP_RENEWAL_LIMIT_H_
#define BLUEBELL_OWNERSHIP_RENEWAL_LIMIT_H_

#include <string_view>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/ownership/table_peers.h"
#include "bluebell/ownership/table_replica.h"
#include "bluebell/settings/timing_settings.h"

namespace bluebell {

// Which of the conditions allows renewals.
enum class renewal_basis { kNone, kFresh, kDomainAutonomy, kRegionAutonomy };

// The basis as text, such as "domain_autonomy".
std::string_view ToString(renewal_basis value);

struct renewal_limit {
  renewal_basis basis = renewal_basis::kNone;
  // instant::min() if no condition allows renewals.
  instant until = instant::min();

  friend bool operator==(const renewal_limit&, const renewal_limit&) = default;
};

// The limit for the daemon `self` of the failure domain `domain`.
renewal_limit RenewalLimit(const table_replica& replica,
                           const table_peers& peers,
                           const daemon_instance& self,
                           const domain_name& domain,
                           const timing_settings& timing,
                           instant now);

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_RENEWAL_LIMIT_H_
