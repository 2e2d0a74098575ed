// The daemons that coordinated before the present coordinator and may still
// give orders about keys. Until all of them are excluded, nobody knows when
// their last grants end.
//
// An aggregate without I/O.
//
//   auto formers = former_coordinators::Before(history, self, authority_ends);
//   for (const coordinator_exclusion& each : formers.Advance(members, now)) ...
//   if (formers.excluded()) ...

#ifndef BLUEBELL_GATEWAY_FORMER_COORDINATORS_H_
#define BLUEBELL_GATEWAY_FORMER_COORDINATORS_H_

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_member.h"

namespace bluebell {

class address;

enum class exclusion_reason { kYielded, kProcessEnded, kAuthorityEnded };

std::string_view ToText(exclusion_reason reason);

struct coordinator_exclusion {
  daemon_instance daemon;
  exclusion_reason reason = exclusion_reason::kYielded;

  friend bool operator==(const coordinator_exclusion&,
                         const coordinator_exclusion&) = default;
};

class former_coordinators {
 public:
  using member_map = std::map<daemon_id, fleet_member>;

  // Nobody coordinated before.
  former_coordinators() = default;
  // `history` is what the store held when `self` took the role.
  static former_coordinators Before(const std::vector<daemon_instance>& history,
                                    const daemon_instance& self);

  // The authority of every former coordinator ends at `until` at the latest.
  void SetAuthorityUntil(instant until) { authority_until_ = until; }

  // Excludes those of which another process has announced itself, and all once
  // their authority has ended.
  std::vector<coordinator_exclusion> Advance(const member_map& members,
                                             instant now);
  // The daemon at `from` has answered a claim.
  std::optional<coordinator_exclusion> OnYield(const address& from,
                                               const member_map& members);

  bool excluded() const { return pending_.empty(); }
  const std::vector<daemon_instance>& pending() const { return pending_; }

 private:
  std::vector<daemon_instance> pending_;
  instant authority_until_ = instant::max();
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_FORMER_COORDINATORS_H_
