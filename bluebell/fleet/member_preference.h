// What makes one daemon preferable to another for a role, the same on all
// daemons.

#ifndef BLUEBELL_FLEET_MEMBER_PREFERENCE_H_
#define BLUEBELL_FLEET_MEMBER_PREFERENCE_H_

#include <cstdint>
#include <string_view>

#include "bluebell/core/ids.h"
#include "bluebell/fleet/fleet_member.h"

namespace bluebell {

// The weight of a member for the role `role` in rendezvous hashing. The highest
// one gets the role.
std::uint64_t RendezvousWeight(std::string_view role, const daemon_id& member);

// True if the member has so much less processor time than the strongest one,
// in thousandths of a core, that it gets a role only if no other is left.
bool HasLittleCpu(const fleet_member& member, std::uint32_t max_cpu_millis);

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_MEMBER_PREFERENCE_H_
