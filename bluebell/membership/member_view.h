// The daemons of the region as one daemon sees them. Used on the control
// thread.
//
//   member_view view(self, domain, detection_time);
//   view.Learn(id, domain, address);
//   std::optional<heartbeat_receipt> receipt = view.Receive(message, now);

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

// What an accepted heartbeat shows about its sender.
struct heartbeat_receipt {
  daemon_instance sender;
  // When this daemon sent the ping that the heartbeat echoes, a lower bound on
  // when the heartbeat was written. Nothing if it echoes no ping of this run,
  // or one that is no longer remembered.
  std::optional<instant> pinged_at;
  // The sender's previous run, if this heartbeat is the first of a new run.
  std::optional<daemon_instance> replaced;
};

class member_view {
 public:
  // A daemon counts as live until its last heartbeat is older than
  // `detection_time`.
  member_view(daemon_instance self,
              domain_name domain,
              duration detection_time);

  // Adds a daemon of the platform's list. Has no effect if it is known already
  // or is this daemon.
  void Learn(const daemon_id& id,
             const domain_name& domain,
             const address& peer_address);

  // Like Learn, for a peer that the settings name. The address from the
  // settings isn't replaced by the one in heartbeats, so that the peer can be
  // reached behind a proxy or address translation.
  void LearnFromSettings(const daemon_id& id,
                         const domain_name& domain,
                         const address& peer_address);

  // Updates the sender's entry. Nothing if the heartbeat is ignored: it comes
  // from this daemon, or from an earlier run of a daemon whose present run is
  // live.
  std::optional<heartbeat_receipt> Receive(const heartbeat& message,
                                           instant now);

  // Sets the fields of `message` that depend on its receiver `to`, which must
  // be known: the ping and the echo. Records that the message is sent at `now`.
  void SetPingFields(const daemon_id& to, heartbeat& message, instant now);

  // Doesn't count a pause of this process as silence of its peers, since no
  // heartbeats could be received during it.
  void ForgivePause(duration pause);

  // Removes daemons that aren't in `listed`, the platform's list, and whose
  // last heartbeat, if any, is older than a fixed limit.
  void Prune(const std::set<daemon_id>& listed, instant now);

  const daemon_instance& self() const { return self_; }
  const domain_name& domain() const { return domain_; }
  const std::map<daemon_id, member>& members() const { return members_; }

  // Always true for this daemon.
  bool IsLive(const daemon_id& id, instant now) const;

  // The time since the daemon's last heartbeat. Nothing before the first one.
  std::optional<duration> Silence(const daemon_id& id, instant now) const;

  // The live daemons, including this one, without those that are leaving.
  std::vector<daemon_instance> Live(instant now) const;
  // The same within one failure domain.
  std::vector<daemon_instance> LiveIn(const domain_name& domain,
                                      instant now) const;

  // The failure domains whose known daemons are all lost or leaving.
  std::set<domain_name> SilentDomains(instant now) const;

  // The failure domains of all known daemons, including this one.
  std::set<domain_name> Domains() const;

 private:
  daemon_instance self_;
  domain_name domain_;
  duration detection_time_;
  std::map<daemon_id, member> members_;
};

// Orders `candidates` for the role named `role`, the most preferred first, by
// rendezvous hashing of their ids. All daemons with the same candidates get the
// same order.
std::vector<daemon_instance> RankForRole(
    std::string_view role,
    std::vector<daemon_instance> candidates);

}  // namespace bluebell

#endif  // BLUEBELL_MEMBERSHIP_MEMBER_VIEW_H_
