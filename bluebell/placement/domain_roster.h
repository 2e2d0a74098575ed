// The daemons of one failure domain that may renew leases of a table shard.
//
// A daemon may renew without a proof that its table is current while a
// majority of the roster in its own table supports it. Whoever moves a slice
// must therefore account for every roster that a daemon with an older table may
// still go by. Such former rosters stay recorded until they are excluded.

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
  std::vector<former_roster> formers;

  friend bool operator==(const domain_roster&, const domain_roster&) = default;
};

// How many members are more than half of `size`.
constexpr std::size_t MajorityOf(std::size_t size) {
  return size / 2 + 1;
}

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_DOMAIN_ROSTER_H_
