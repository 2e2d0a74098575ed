#include "bluebell/keyspace/shard_load.h"

#include <chrono>

namespace bluebell {

namespace {

// The time constant with which a key's load decays: long enough to average over
// several requests of a key, short enough to follow keys that become busy.
constexpr std::chrono::duration<double> kLoadTimeConstant{2.5};
// Keys with a lower load than this are removed.
constexpr double kNegligibleSlots = 1e-4;
constexpr seconds kCleanupInterval{5};

}  // namespace

void shard_load_meter::Add(shard_key key, duration work, instant now) {
  loads_[key].Add(work, kLoadTimeConstant, now);
  if (now >= next_cleanup_) {
    RemoveNegligible(now);
    next_cleanup_ = now + kCleanupInterval;
  }
}

void shard_load_meter::RemoveNegligible(instant now) {
  std::erase_if(loads_, [now](const auto& entry) {
    return entry.second.SlotsAt(kLoadTimeConstant, now) < kNegligibleSlots;
  });
}

std::vector<shard_load> shard_load_meter::Loads(instant now) const {
  std::vector<shard_load> loads;
  for (const auto& [key, load] : loads_) {
    const double slots = load.SlotsAt(kLoadTimeConstant, now);
    if (slots >= kNegligibleSlots) {
      loads.push_back({key, slots});
    }
  }
  return loads;
}

}  // namespace bluebell
