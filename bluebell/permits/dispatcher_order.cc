#include "bluebell/permits/dispatcher_order.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace bluebell {

namespace {

// Members with less than this share of the largest processor time of all
// members dispatch only if no other is left.
constexpr double kMinCpuShare = 0.6;

std::uint64_t Weight(const service_name& service, const daemon_id& member) {
  const std::string text = service.value() + '/' + member.value();
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace

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
    const bool has_little_cpu =
        member.cpu_millis < kMinCpuShare * max_cpu_millis;
    const bool coordinator = is_coordinator(member);
    return std::tuple(member.leaving, keyed && !coordinator, has_little_cpu,
                      !keyed && coordinator,
                      ~Weight(service, member.instance.id));
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
