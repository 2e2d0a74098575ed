// The coordinator's role in the store: claims it, keeps it under a lease and
// gives it back. Lives on the control thread.
//
//   role_lease lease(self, store, watcher);
//   if (co_await lease.Claim(formers) == claim_outcome::kClaimed) ...
//   co_await lease.Renew(formers);

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
  // Another daemon holds the role, or has held it since.
  kTaken,
  // No answer; the role may be this daemon's.
  kUnknown,
};

class role_lease {
 public:
  role_lease(daemon_instance self, kv_client& store, store_watcher& watcher);
  role_lease(const role_lease&) = delete;
  role_lease& operator=(const role_lease&) = delete;
  ~role_lease() = default;

  // False while this daemon's view lags behind a claim that it has lost to.
  bool view_is_recent() const;
  // Takes the vacant role, after the coordinators that the view names.
  // `formers` are those among them that may still give orders.
  boost::asio::awaitable<claim_outcome> Claim(
      std::vector<daemon_instance> formers);
  // Renews the lease of the held role, or takes the role again if the lease has
  // lapsed and nobody else has coordinated since.
  boost::asio::awaitable<claim_outcome> Renew(
      std::vector<daemon_instance> formers);
  // Notes in the store that none of the former coordinators is left. Has no
  // effect if it was noted already.
  boost::asio::awaitable<void> NoteFormersExcluded();
  // Gives the role back. False if the store hasn't confirmed it; the lease then
  // ends by itself.
  boost::asio::awaitable<bool> End();

  // When the last call was sent that proved the role to be this daemon's.
  instant proof() const { return proof_; }
  // The store's revision of the claim.
  store_version revision() const { return held_.versions.holder; }

 private:
  enum class claim_kind { kFirst, kAgain };

  boost::asio::awaitable<claim_outcome> WriteClaim(
      claim_kind kind,
      role_versions expected,
      std::vector<daemon_instance> formers);
  // The claim under `lease`, whose answer was lost, if the store holds it.
  boost::asio::awaitable<std::optional<held_role>> LookForClaim(kv_lease lease);
  // Takes the role as claimed.
  claim_outcome Hold(const held_role& role,
                     bool history_is_long,
                     instant proof);

  daemon_instance self_;
  kv_client& store_;
  store_watcher& watcher_;
  held_role held_;
  instant proof_;
  // The history in the store names former coordinators.
  bool history_is_long_ = false;
  // The history's revision in the last conflict.
  store_version lost_to_;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_ROLE_LEASE_H_
