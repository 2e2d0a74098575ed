// The store values of the coordinator's role. One names the present coordinator
// and is under its lease. The other, the history, has no lease and names the
// last coordinator and the earlier ones that may still send orders. A claim
// writes both in one conditional write, so it fails if a daemon that isn't in
// the history that was read has coordinated since.
//
//   kv_write write = ClaimWrite(versions, self, formers, lease);
//   std::optional<role_claim> own = FindOwnClaim(listing.items, self);

#ifndef BLUEBELL_GATEWAY_ROLE_CLAIM_H_
#define BLUEBELL_GATEWAY_ROLE_CLAIM_H_

#include <optional>
#include <string>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/fleet/coordinator_record.h"
#include "bluebell/kv/kv_types.h"

namespace bluebell {

class fleet_state;

// The store's revisions of both values; zero for a value that doesn't exist.
struct role_versions {
  store_version coordinator;
  store_version history;

  friend bool operator==(const role_versions&, const role_versions&) = default;
};

// The role as one state of the store shows it. A claim takes its conditions and
// its former coordinators from the same snapshot, so that it fails if a daemon
// that isn't among them has claimed the role since.
struct role_snapshot {
  // The daemon under whose lease the role is.
  std::optional<daemon_instance> coordinator;
  role_versions versions;
  // The latest coordinator, and earlier ones that may still send orders.
  std::vector<coordinator_record> history;

  friend bool operator==(const role_snapshot&, const role_snapshot&) = default;
};

// A claim that the store holds.
struct role_claim {
  role_versions versions;
  kv_lease lease;

  friend bool operator==(const role_claim&, const role_claim&) = default;
};

// The write by which `self` claims the role under `lease`, if both values still
// have the `expected` revisions. `formers` are the former coordinators that
// may still send orders.
kv_write ClaimWrite(const role_versions& expected,
                    const daemon_instance& self,
                    const std::vector<coordinator_record>& formers,
                    kv_lease lease);

// The write that reduces the history to `self` once no former coordinator can
// send orders. It takes effect only while the claim that the given versions
// belong to is the present one.
kv_write TrimHistoryWrite(const role_versions& claimed,
                          const daemon_instance& self);

// The write by which a coordinator whose lease has ended leaves the history, so
// that it names `formers` only. It takes effect only if no daemon has claimed
// the role since the claim that the given versions belong to.
kv_write WithdrawalWrite(const role_versions& claimed,
                         const std::vector<coordinator_record>& formers);

// The role in this daemon's copy of the store.
role_snapshot RoleIn(const fleet_state& state);

// True if the role is vacant, or if an earlier run of `self` has it. That run
// has ended, since the present one could bind its address.
bool MayBeClaimed(const role_snapshot& role, const daemon_instance& self);

// The revisions of both values among `items`.
role_versions FindRoleVersions(const std::vector<kv_item>& items);

// The coordinators' history among `items`; empty if there is none. Fails if it
// is malformed.
result<std::vector<coordinator_record>> HistoryIn(
    const std::vector<kv_item>& items);

// The claim of the daemon run `self`, if the coordinator's value in `items`
// names it.
std::optional<role_claim> FindOwnClaim(const std::vector<kv_item>& items,
                                       const daemon_instance& self);

// The daemon ids of `records`, separated by commas, for log lines.
std::string IdsOf(const std::vector<coordinator_record>& records);

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_ROLE_CLAIM_H_
