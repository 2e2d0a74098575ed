#include "bluebell/fleet/member_preference.h"

#include <string>

#include <xxhash.h>

namespace bluebell {

namespace {

// Of the largest processor time.
constexpr double kMinCpuShare = 0.6;

}  // namespace

std::uint64_t RendezvousWeight(std::string_view role, const daemon_id& member) {
  const std::string text = std::string(role) + '/' + member.value();
  return XXH64(text.data(), text.size(), 0);
}

bool HasLittleCpu(const fleet_member& member, std::uint32_t max_cpu_millis) {
  return member.cpu_millis < kMinCpuShare * max_cpu_millis;
}

}  // namespace bluebell
