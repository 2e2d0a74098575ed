// This daemon's lease of the coordinator's role in the store: claims the role,
// renews the lease and ends it. All functions are called on the control thread.
//
//   role_lease lease(self, store, watcher);
//   if (co_await lease.Claim(role.versions, formers) ==
//   claim_outcome::kClaimed) ... co_await lease.Renew(formers);

#ifndef BLUEBELL_GATEWAY_ROLE_LEASE_H_
#define BLUEBELL_GATEWAY_ROLE_LEASE_H_

#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/gateway/role_claim.h"

namespace bluebell {

class kv_client;
class store_watcher;

enum class claim_outcome {
  kClaimed,
  // Another daemon has the role, or has had it since it was last read.
  kLost,
  // The store gave no clear answer. The claim may have taken effect.
  kUnknown,
};

class role_lease {
 public:
  role_lease(daemon_instance self, kv_client& store, store_watcher& watcher);
  role_lease(const role_lease&) = delete;
  role_lease& operator=(const role_lease&) = delete;
  ~role_lease() = default;

  // False while this daemon's view of the store is older than the claim that
  // its last claim conflicted with.
  bool view_is_recent() const;
  // Claims the vacant role if it still has the `expected` revisions. `formers`
  // are the coordinators that may still send orders, taken from the same
  // role_snapshot as the revisions.
  boost::asio::awaitable<claim_outcome> Claim(
      role_versions expected,
      std::vector<coordinator_record> formers);
  // Renews the lease. A renewed lease proves that this daemon has the role,
  // since no claim replaces one that is under a live lease. If it has expired,
  // claims the role again, which succeeds only if no other daemon has
  // coordinated since. After End() it doesn't claim the role again.
  boost::asio::awaitable<claim_outcome> Renew(
      std::vector<coordinator_record> formers);
  // Claims the role again in a later era of the store than that of the last
  // claim, whatever its older copy shows. `present` are the revisions that were
  // read in that era.
  boost::asio::awaitable<claim_outcome> Reclaim(
      role_versions present,
      std::vector<coordinator_record> formers);
  // Removes the former coordinators from the history in the store, when all of
  // them are excluded. Has no effect if the history names none.
  boost::asio::awaitable<void> TrimHistory();
  // Ends the lease. False if the store hasn't confirmed it; the lease then
  // expires, unless the call is repeated.
  boost::asio::awaitable<bool> End();
  // Removes this daemon from the history in the store, so that its successor
  // doesn't wait for its orders. Called after End() was confirmed and once this
  // daemon sends no orders any more. `formers` are the coordinators before this
  // one that may still send orders. One attempt is made: without it, the
  // successor waits as it does for a coordinator that was lost.
  boost::asio::awaitable<void> Withdraw(
      std::vector<coordinator_record> formers);
  // End() once, and Withdraw() if it was confirmed. Otherwise the lease
  // expires.
  boost::asio::awaitable<void> EndAndWithdraw(
      std::vector<coordinator_record> formers);

  // When the last call was sent whose response proved that this daemon has the
  // role.
  instant proven_at() const { return proven_at_; }
  // The store's revision of this daemon's claim.
  store_version revision() const { return claim_.versions.coordinator; }

 private:
  enum class claim_kind { kFirst, kReclaim };

  boost::asio::awaitable<claim_outcome> WriteClaim(
      claim_kind kind,
      role_versions expected,
      std::vector<coordinator_record> formers);
  // Reads whether the store holds this daemon's claim under `lease`, after the
  // response to the claim was lost.
  boost::asio::awaitable<std::optional<role_claim>> FindClaim(kv_lease lease);
  // Records a successful claim. `proven_at` is when its first call was sent.
  claim_outcome AcceptClaim(const role_claim& accepted,
                            bool history_has_former_coordinators,
                            instant proven_at);

  daemon_instance self_;
  kv_client& store_;
  store_watcher& watcher_;
  role_claim claim_;
  instant proven_at_;
  // End() has been called since the last first claim.
  bool ended_ = false;
  // The history in the store names other daemons than this one.
  bool history_has_former_coordinators_ = false;
  // The highest revision of the history that a claim has conflicted with.
  store_version conflicting_history_revision_;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_ROLE_LEASE_H_
