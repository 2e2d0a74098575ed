// From when on no daemon of a failure domain can renew a lease under a table
// older than a given version. It mirrors the rules of renewal_limit.h.
//
//   std::optional<instant> excluded =
//       RenewalsExcludedAt(replica, peers, self, domain, since, timing);

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

// `duration` of another process's clock as an upper bound on this one's.
duration WithDrift(duration value, const timing_settings& timing);

// For all current and former rosters of `domain`. Nothing if this daemon's
// table is older than `since`. The result may lie in the future and moves
// earlier as acknowledgements come in.
std::optional<instant> RenewalsExcludedAt(const table_replica& replica,
                                          const table_peers& peers,
                                          const daemon_instance& self,
                                          const domain_name& domain,
                                          table_version since,
                                          const timing_settings& timing);

// The same for one roster only.
std::optional<instant> RosterExcludedAt(
    const table_replica& replica,
    const table_peers& peers,
    const daemon_instance& self,
    const std::set<daemon_instance>& members,
    table_version since,
    const timing_settings& timing);

}  // namespace bluebell

#endif  // BLUEBELL_OWNERSHIP_RENEWAL_EXCLUSION_H_
