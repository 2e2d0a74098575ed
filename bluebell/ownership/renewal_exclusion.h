// Finds the time from which no daemon of a failure domain can renew a lease
// under a placement table older than a given version. Derived from the rules of
// renewal_limit.h; a change there requires one here.
//
//   std::optional<instant> excluded_at =
//       RenewalsExcludedAt(replica, peers, self, domain, min_version, timing);

#ifndef BLUEBELL_OWNERSHIP_RENEWAL_EXCLUSION_H_
#define BLUEBELL_OWNERSHIP_RENEWAL_EXCLUSION_H_

#include <optional>
#include <set>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/ownership/table_peers.h"
#include "bluebell/ownership/table_replica.h"
#include "bluebell/settings/timing_settings.h"

namespace bluebell {

// The longest time that this process's clock can show while the clock of
// another process shows `value`.
duration WithDrift(duration value, const timing_settings& timing);

// The time for all current and former rosters of `domain`. Nothing if this
// daemon's table is older than `min_version`, or the table has no roster of
// `domain`. The result may lie in the future and can become earlier as
// acknowledgements arrive.
std::optional<instant> RenewalsExcludedAt(const table_replica& replica,
                                          const table_peers& peers,
                                          const daemon_instance& self,
                                          const domain_name& domain,
                                          table_version min_version,
                                          const timing_settings& timing);

// The time for one roster, given by its members.
std::optional<instant> RosterExcludedAt(
    const table_replica& replica,
    const table_peers& peers,
    const daemon_instance& self,
    const std::set<daemon_instance>& members,
    table_version min_version,
    const timing_settings& timing);

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_RENEWAL_EXCLUSION_H_
