#include "bluebell/keyspace/shard_load.h"

#include <chrono>

namespace bluebell {

namespace {

// The time over which a key's work is averaged: long enough to see more than
// single requests of a key, short enough to follow keys that become busy.
constexpr std::chrono::duration<double> kWindow{2.5};
// Keys below this many slots don't matter.
constexpr double kFaded = 1e-4;
constexpr seconds kCleanInterval{5};

}  // namespace

void shard_load_meter::Add(shard_key key, duration work, instant now) {
  loads_[key].Add(work, kWindow, now);
  if (now >= next_clean_) {
    DropFaded(now);
    next_clean_ = now + kCleanInterval;
  }
}

void shard_load_meter::DropFaded(instant now) {
  std::erase_if(loads_, [now](const auto& entry) {
    return entry.second.SlotsAt(kWindow, now) < kFaded;
  });
}

std::vector<shard_load> shard_load_meter::Loads(instant now) const {
  std::vector<shard_load> loads;
  for (const auto& [key, load] : loads_) {
    const double slots = load.SlotsAt(kWindow, now);
    if (slots >= kFaded) {
      loads.push_back({key, slots});
    }
  }
  return loads;
}

}  // namespace bluebell
