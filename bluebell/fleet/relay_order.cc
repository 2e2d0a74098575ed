#include "bluebell/fleet/relay_order.h"

#include <algorithm>
#include <cstdint>
#include <tuple>

#include "bluebell/fleet/member_preference.h"

namespace bluebell {

namespace {

// One relay may go at any moment.
constexpr std::size_t kRelaysPerDomain = 2;
// In a smaller domain relays would save few calls to the store.
constexpr std::size_t kMinMembers = 6;

}  // namespace

std::vector<fleet_member> RelaysOf(const fleet_snapshot& view,
                                   const domain_name& domain) {
  std::vector<fleet_member> members;
  std::uint32_t max_cpu_millis = 0;
  for (const auto& [id, member] : view.members) {
    if (member.domain == domain) {
      members.push_back(member);
      max_cpu_millis = std::max(max_cpu_millis, member.cpu_millis);
    }
  }
  if (members.size() < kMinMembers) {
    return {};
  }
  const auto sort_key = [&](const fleet_member& member) {
    const bool coordinator =
        view.coordinator && view.coordinator->id == member.instance.id;
    return std::tuple(member.leaving, coordinator,
                      HasLittleCpu(member, max_cpu_millis),
                      ~RendezvousWeight(domain.value(), member.instance.id));
  };
  std::sort(members.begin(), members.end(),
            [&](const fleet_member& a, const fleet_member& b) {
              return sort_key(a) < sort_key(b);
            });
  members.resize(kRelaysPerDomain);
  return members;
}

}  // namespace bluebell
