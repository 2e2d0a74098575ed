#include "bluebell/runtime/load_meter.h"

#include <algorithm>

namespace bluebell {

namespace {

void KeepKeysWithMostLoad(std::vector<key_load>& keys, std::size_t count) {
  std::sort(keys.begin(), keys.end(), [](const auto& a, const auto& b) {
    return a.slot_time > b.slot_time;
  });
  keys.resize(std::min(keys.size(), count));
}

}  // namespace

load_meter::load_meter(instant now) : period_start_(now) {}

void load_meter::Add(const service_name& service,
                     key_hash slice_first,
                     key_hash hash,
                     duration slot_time) {
  slices_[{service, slice_first}] += slot_time;
  AddKey({service, hash}, slot_time);
}

void load_meter::AddKey(const service_and_hash& key, duration slot_time) {
  const auto found = keys_.find(key);
  if (found != keys_.end()) {
    found->second += slot_time;
    return;
  }
  duration inherited{0};
  if (keys_.size() >= kMaxCountedKeys) {
    const auto coldest = std::min_element(
        keys_.begin(), keys_.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    inherited = coldest->second;
    keys_.erase(coldest);
  }
  keys_.emplace(key, inherited + slot_time);
}

load_report load_meter::Take(instant now) {
  load_report report;
  report.period = now - std::exchange(period_start_, now);
  for (const auto& [slice, slot_time] : std::exchange(slices_, {})) {
    report.slices.push_back({slice.first, slice.second, slot_time});
  }
  for (const auto& [key, slot_time] : std::exchange(keys_, {})) {
    report.hot_keys.push_back({key.first, key.second, slot_time});
  }
  KeepKeysWithMostLoad(report.hot_keys, kMaxReportedKeys);
  return report;
}

load_report MergeLoads(const std::vector<load_report>& parts) {
  std::map<std::pair<service_name, key_hash>, duration> slices;
  std::map<std::pair<service_name, key_hash>, duration> keys;
  load_report whole;
  for (const load_report& part : parts) {
    whole.period = std::max(whole.period, part.period);
    for (const slice_load& load : part.slices) {
      slices[{load.service, load.first}] += load.slot_time;
    }
    for (const key_load& load : part.hot_keys) {
      keys[{load.service, load.hash}] += load.slot_time;
    }
  }
  for (const auto& [slice, slot_time] : slices) {
    whole.slices.push_back({slice.first, slice.second, slot_time});
  }
  for (const auto& [key, slot_time] : keys) {
    whole.hot_keys.push_back({key.first, key.second, slot_time});
  }
  KeepKeysWithMostLoad(whole.hot_keys, load_meter::kMaxReportedKeys);
  return whole;
}

}  // namespace bluebell
