// How the coordinator's role stands in the store: who holds it, under a lease,
// and, without one, whom the holder follows. Both values change together, so a
// claim that expects the history it has read follows everyone.
//
//   kv_write write = ClaimWrite(versions, self, formers, lease);
//   std::optional<held_role> held = FindOwnClaim(listing.items, self);

#ifndef BLUEBELL_GATEWAY_ROLE_CLAIM_H_
#define BLUEBELL_GATEWAY_ROLE_CLAIM_H_

#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/kv/kv_types.h"

namespace bluebell {

// The revisions of both values; zero for one that doesn't exist.
struct role_versions {
  store_version holder;
  store_version history;

  friend bool operator==(const role_versions&, const role_versions&) = default;
};

struct held_role {
  role_versions versions;
  kv_lease lease;

  friend bool operator==(const held_role&, const held_role&) = default;
};

// Takes the role if both values still are as they were read.
kv_write ClaimWrite(const role_versions& expected,
                    const daemon_instance& self,
                    const std::vector<daemon_instance>& formers,
                    kv_lease lease);

// Notes that no former coordinator is left that may give orders.
kv_write FormersExcludedWrite(const role_versions& held,
                              const daemon_instance& self);

role_versions FindRoleVersions(const std::vector<kv_item>& items);

// The claim of this run among `items`, if it is the last one that was made.
std::optional<held_role> FindOwnClaim(const std::vector<kv_item>& items,
                                      const daemon_instance& self);

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_ROLE_CLAIM_H_
