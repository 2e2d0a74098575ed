#include "bluebell/permits/dispatcher_order.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace bluebell {

namespace {

// Members with less than this share of the strongest one's processor time
// dispatch only if no other is left.
constexpr double kStrongShare = 0.6;

std::uint64_t Weight(const service_name& service, const daemon_id& member) {
  const std::string text = service.value() + '/' + member.value();
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

std::vector<fleet_member> DispatcherOrder(const fleet_snapshot& view,
                                          const service_name& service) {
  std::uint32_t strongest = 0;
  for (const auto& [id, member] : view.members) {
    strongest = std::max(strongest, member.cpu_millis);
  }
  const fleet_service* about =
      view.config ? view.config->FindService(service) : nullptr;
  const bool keyed = about != nullptr && about->keyed;
  const auto is_coordinator = [&](const fleet_member& member) {
    return view.coordinator && view.coordinator->id == member.instance.id;
  };
  const auto place = [&](const fleet_member& member) {
    const bool weak = member.cpu_millis < kStrongShare * strongest;
    const bool coordinator = is_coordinator(member);
    return std::tuple(member.leaving, keyed && !coordinator, weak,
                      !keyed && coordinator,
                      ~Weight(service, member.instance.id));
  };
  std::vector<std::pair<decltype(place(fleet_member())), const fleet_member*>>
      placed;
  for (const auto& [id, member] : view.members) {
    placed.emplace_back(place(member), &member);
  }
  std::sort(placed.begin(), placed.end());
  std::vector<fleet_member> order;
  order.reserve(placed.size());
  for (const auto& [where, member] : placed) {
    order.push_back(*member);
  }
  return order;
}

}  // namespace bluebell
