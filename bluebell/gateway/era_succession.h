// Decides who may take the coordinator's role after the store came back from an
// older copy, and when the daemon that has it may send orders.
//
// The copy's coordinator, history and key tables may be older than grants that
// are in force. Only a coordinator whose authority hasn't ended knows the
// owners for certain, since no successor has moved keys before that end. It
// claims the role again, whatever the copy shows, and writes its own tables,
// which belong to the new era from then on: the service counts as settled. Any
// other daemon leaves it some time for that, and sends no orders before all
// grants that may be outstanding have ended.
//
// In era 0, and for settled services, nothing is restricted. Does no I/O; used
// on the control thread.
//
//   era_succession succession(timing);
//   succession.OnEra(store.era(), knows_owners, now);
//   if (succession.MayClaim(AreSettled(tables, services, era), now)) ...

#ifndef BLUEBELL_GATEWAY_ERA_SUCCESSION_H_
#define BLUEBELL_GATEWAY_ERA_SUCCESSION_H_

#include <map>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/store_era.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/coordinator_record.h"
#include "bluebell/keyspace/key_table.h"
#include "bluebell/keyspace/key_timing.h"

namespace bluebell {

// What a daemon that has the role does about a rise of the era.
enum class era_verdict {
  // The era hasn't risen since the last call.
  kUnaffected,
  // It claims the role again and asserts its own tables.
  kReclaims,
  // It gives the role up and begins as any other daemon.
  kStops,
};

// True if the tables of all `services` were written in `era`, so that they name
// all owners. Always true in era 0.
bool AreSettled(const std::map<service_name, key_table>& tables,
                const std::vector<service_name>& services,
                const store_era& era);

// True if another daemon than `self` has claimed the role in `era`, according
// to the coordinators' `history` that was read in that era.
bool IsClaimedByOther(const std::vector<coordinator_record>& history,
                      const daemon_instance& self,
                      const store_era& era);

class era_succession {
 public:
  // How long the other daemons leave a coordinator to claim the role again. It
  // renews its lease every 0.35 s and needs three calls for a claim, which may
  // each wait for most of a second while the store is busy again.
  static constexpr milliseconds kPrecedence{3'000};

  explicit era_succession(const key_timing& timing) : timing_(timing) {}

  // The store is in `era`, as its responses show at `now`. `knows_owners` is
  // true if this daemon is the coordinator, has tables that it may assert, and
  // its authority hasn't ended. Returns what a coordinator does. Called on each
  // tick; the first call in an era decides.
  era_verdict OnEra(const store_era& era, bool knows_owners, instant now);

  // Whether a daemon without the role may claim it.
  bool MayClaim(bool settled, instant now) const;
  // Until when a daemon that claimed the role at `claimed_at`, with services
  // that aren't settled, sends no orders: all grants that other coordinators
  // may have sent have ended then.
  instant SilentUntil(instant claimed_at) const;

  const store_era& era() const { return era_; }

 private:
  key_timing timing_;
  store_era era_;
  instant seen_at_;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_ERA_SUCCESSION_H_
