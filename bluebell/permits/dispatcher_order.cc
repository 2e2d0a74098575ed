#include "bluebell/permits/dispatcher_order.h"

#include <algorithm>
#include <cstdint>
#include <tuple>
#include <utility>

#include "bluebell/fleet/member_preference.h"

namespace bluebell {

std::vector<fleet_member> DispatcherOrder(const fleet_snapshot& view,
                                          const service_name& service) {
  std::uint32_t max_cpu_millis = 0;
  for (const auto& [id, member] : view.members) {
    max_cpu_millis = std::max(max_cpu_millis, member.cpu_millis);
  }
  const fleet_service* service_entry =
      view.config ? view.config->FindService(service) : nullptr;
  const bool keyed = service_entry != nullptr && service_entry->keyed;
  const auto is_coordinator = [&](const fleet_member& member) {
    return view.coordinator && view.coordinator->id == member.instance.id;
  };
  const auto sort_key = [&](const fleet_member& member) {
    const bool coordinator = is_coordinator(member);
    return std::tuple(member.leaving, keyed && !coordinator,
                      HasLittleCpu(member, max_cpu_millis),
                      !keyed && coordinator,
                      ~RendezvousWeight(service.value(), member.instance.id));
  };
  std::vector<
      std::pair<decltype(sort_key(fleet_member())), const fleet_member*>>
      sorted;
  for (const auto& [id, member] : view.members) {
    sorted.emplace_back(sort_key(member), &member);
  }
  std::sort(sorted.begin(), sorted.end());
  std::vector<fleet_member> order;
  order.reserve(sorted.size());
  for (const auto& [key, member] : sorted) {
    order.push_back(*member);
  }
  return order;
}

}  // namespace bluebell
