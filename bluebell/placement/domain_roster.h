// The daemons of one failure domain that may renew leases of a table shard.
//
// While a majority of the roster in its own table confirms its version, a
// daemon may renew leases without a recent proof that the table is current. A
// daemon that moves a slice must therefore consider every roster that a daemon
// with an older table may still use. Such former rosters stay in the table
// until no daemon can renew under them any more.

#ifndef BLUEBELL_PLACEMENT_DOMAIN_ROSTER_H_
#define BLUEBELL_PLACEMENT_DOMAIN_ROSTER_H_

#include <compare>
#include <cstddef>
#include <set>
#include <vector>

#include "bluebell/core/ids.h"

namespace bluebell {

struct former_roster {
  std::set<daemon_instance> members;
  // The table version that replaced this roster.
  table_version replaced_at;

  friend bool operator==(const former_roster&, const former_roster&) = default;
};

struct domain_roster {
  domain_name domain;
  std::set<daemon_instance> members;
  std::vector<former_roster> former_rosters;

  friend bool operator==(const domain_roster&, const domain_roster&) = default;
};

// The smallest number of members that is more than half of `size`.
constexpr std::size_t MajorityOf(std::size_t size) {
  return size / 2 + 1;
}

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_DOMAIN_ROSTER_H_
