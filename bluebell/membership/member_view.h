// The daemons of the region as one daemon sees them.
//
//   member_view view(self, domain, detection);
//   view.Learn(id, domain, address);
//   std::optional<echo> heard = view.Receive(message, now);

#ifndef BLUEBELL_MEMBERSHIP_MEMBER_VIEW_H_
#define BLUEBELL_MEMBERSHIP_MEMBER_VIEW_H_

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/membership/heartbeat.h"
#include "bluebell/membership/member.h"

namespace bluebell {

// What a heartbeat says about when it was written.
struct heartbeat_receipt {
  daemon_instance sender;
  // When the newest ping that the sender had got from here was sent. Nothing
  // if it has got none yet.
  std::optional<instant> pinged_at;
  // The run that the sender had before, if this heartbeat is the first of a
  // new one.
  std::optional<daemon_instance> replaced;
};

class member_view {
 public:
  member_view(daemon_instance self, domain_name domain, duration detection);

  // Adds a daemon named by the settings or the platform's list.
  void Learn(const daemon_id& id,
             const domain_name& domain,
             const address& peer_address);

  // Like Learn, for a peer that the settings name. Its address stays, so that
  // hosts reach it behind a proxy or address translation.
  void LearnFromSettings(const daemon_id& id,
                         const domain_name& domain,
                         const address& peer_address);

  // Takes in a heartbeat. Nothing if it comes from this daemon or from an
  // earlier run of a daemon whose present run is live.
  std::optional<heartbeat_receipt> Receive(const heartbeat& message,
                                           instant now);

  // Fills in sender-independent fields of the next heartbeat to `to`: ping and
  // echo. `to` must be known.
  void Address(const daemon_id& to, heartbeat& message, instant now);

  // Moves all silences forward by a pause of this process, since nothing could
  // be heard during it.
  void ForgivePause(duration pause);

  // Removes daemons that the platform doesn't list and that have been silent
  // for long.
  void Prune(const std::set<daemon_id>& listed, instant now);

  const daemon_instance& self() const { return self_; }
  const domain_name& domain() const { return domain_; }
  const std::map<daemon_id, member>& members() const { return members_; }

  bool IsLive(const daemon_id& id, instant now) const;

  // How long nothing has been heard of the daemon. Nothing if never heard.
  std::optional<duration> Silence(const daemon_id& id, instant now) const;

  // The live daemons, this one included, leaving ones excluded.
  std::vector<daemon_instance> Live(instant now) const;
  std::vector<daemon_instance> LiveIn(const domain_name& domain,
                                      instant now) const;

  // The domains with known daemons of which none is live.
  std::set<domain_name> SilentDomains(instant now) const;

  // All domains of known daemons.
  std::set<domain_name> Domains() const;

 private:
  daemon_instance self_;
  domain_name domain_;
  duration detection_;
  std::map<daemon_id, member> members_;
};

// Orders `candidates` for the role named `role`, the most preferred first, by
// rendezvous hashing over their ids.
std::vector<daemon_instance> RankForRole(
    std::string_view role,
    std::vector<daemon_instance> candidates);

}  // namespace bluebell

#endif  // BLUEBELL_MEMBERSHIP_MEMBER_VIEW_H_
