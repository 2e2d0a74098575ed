#include "bluebell/keyspace/shard_load.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

// The time over which a key's work is averaged: long enough to see more than
// single requests of a key, short enough to follow keys that become busy.
constexpr std::chrono::duration<double> kWindow{2.5};
// Keys below this many slots don't matter.
constexpr double kFaded = 1e-4;
constexpr seconds kCleanInterval{5};

}  // namespace

double shard_load_meter::SlotsAt(const decaying_load& load, instant now) {
  const std::chrono::duration<double> elapsed = now - load.updated_at;
  return load.slots * std::exp(-std::max(0.0, elapsed / kWindow));
}

void shard_load_meter::Add(shard_key key, duration work, instant now) {
  decaying_load& load = loads_[key];
  const std::chrono::duration<double> work_seconds = work;
  load.slots = SlotsAt(load, now) + work_seconds / kWindow;
  load.updated_at = now;
  if (now >= next_clean_) {
    DropFaded(now);
    next_clean_ = now + kCleanInterval;
  }
}

void shard_load_meter::DropFaded(instant now) {
  std::erase_if(loads_, [now](const auto& entry) {
    return SlotsAt(entry.second, now) < kFaded;
  });
}

std::vector<shard_load> shard_load_meter::Loads(instant now) const {
  std::vector<shard_load> loads;
  for (const auto& [key, load] : loads_) {
    const double slots = SlotsAt(load, now);
    if (slots >= kFaded) {
      loads.push_back({key, slots});
    }
  }
  return loads;
}

}  // namespace bluebell
