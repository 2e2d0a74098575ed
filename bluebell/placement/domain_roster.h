// The daemons of one failure domain that may renew leases of a table shard.
//
// Two majorities of the roster must meet, also across changes. So the roster
// changes by one daemon at a time, and a change is complete only once a
// majority of the former roster has acknowledged the table that holds it.

#ifndef BLUEBELL_PLACEMENT_DOMAIN_ROSTER_H_
#define BLUEBELL_PLACEMENT_DOMAIN_ROSTER_H_

#include <optional>
#include <set>
#include <variant>

#include "bluebell/core/ids.h"

namespace bluebell {

struct roster_addition {
  daemon_id added;

  friend bool operator==(const roster_addition&,
                         const roster_addition&) = default;
};

struct roster_removal {
  daemon_id removed;

  friend bool operator==(const roster_removal&,
                         const roster_removal&) = default;
};

using roster_change = std::variant<roster_addition, roster_removal>;

struct domain_roster {
  domain_name domain;
  std::set<daemon_id> members;
  // A change that isn't complete. An added daemon isn't in `members` yet and
  // may not renew; a removed one still is and counts as able to renew.
  std::optional<roster_change> pending;
  // The table version that began the pending change.
  table_version pending_since;

  friend bool operator==(const domain_roster&, const domain_roster&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_DOMAIN_ROSTER_H_
