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

// The daemons of the domain, the most suitable relay first.
std::vector<fleet_member> OrderOf(const fleet_snapshot& view,
                                  const domain_name& domain) {
  std::vector<fleet_member> members;
  std::uint32_t max_cpu_millis = 0;
  for (const auto& [id, member] : view.members) {
    if (member.domain == domain) {
      members.push_back(member);
      max_cpu_millis = std::max(max_cpu_millis, member.cpu_millis);
    }
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
  return members;
}

}  // namespace

std::vector<fleet_member> RelaysOf(const fleet_snapshot& view,
                                   const domain_name& domain) {
  std::vector<fleet_member> members = OrderOf(view, domain);
  if (members.size() < kMinMembers) {
    return {};
  }
  members.resize(kRelaysPerDomain);
  return members;
}

std::vector<fleet_member> ConfirmingPeersOf(const fleet_snapshot& view,
                                            const domain_name& domain) {
  std::vector<fleet_member> relays = RelaysOf(view, domain);
  if (!relays.empty()) {
    return relays;
  }
  std::vector<fleet_member> members = OrderOf(view, domain);
  const auto coordinator = std::find_if(
      members.begin(), members.end(), [&](const fleet_member& member) {
        return view.coordinator && member.instance == *view.coordinator &&
               !member.leaving;
      });
  if (coordinator != members.end()) {
    return {*coordinator};
  }
  members.resize(std::min<std::size_t>(members.size(), 1));
  return members;
}

}  // namespace bluebell
