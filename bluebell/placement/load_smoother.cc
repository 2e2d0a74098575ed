#include "bluebell/placement/load_smoother.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <variant>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

// Less slot time in a second than this many nanoseconds is forgotten.
constexpr double kNegligible = 1'000;

key_hash PlaceOf(const slice_load& load) {
  return load.first;
}

key_hash PlaceOf(const key_load& load) {
  return load.where;
}

using load_map = std::map<std::pair<service_name, key_hash>, double>;

template <typename Load>
void Blend(load_map& kept,
           const std::vector<Load>& loads,
           double weight,
           double per_second) {
  for (auto& [key, value] : kept) {
    value *= 1 - weight;
  }
  for (const Load& load : loads) {
    const auto amount = static_cast<double>(load.slot_time.count());
    kept[{load.service, PlaceOf(load)}] += weight * amount * per_second;
  }
  std::erase_if(kept,
                [](const auto& entry) { return entry.second < kNegligible; });
}

template <typename Load>
std::vector<Load> LoadsOf(const load_map& kept, const service_name& service) {
  std::vector<Load> loads;
  for (auto entry = kept.lower_bound({service, 0});
       entry != kept.end() && entry->first.first == service; ++entry) {
    loads.push_back({service, entry->first.second,
                     duration(static_cast<duration::rep>(entry->second))});
  }
  return loads;
}

}  // namespace

void load_smoother::Add(const load_report& report) {
  if (report.period <= duration(0)) {
    return;
  }
  const std::chrono::duration<double> period = report.period;
  const double weight = 1 - std::exp(-(period / kTimeConstant));
  const double per_second = 1 / period.count();
  Blend(slices_, report.slices, weight, per_second);
  Blend(hot_keys_, report.hot_keys, weight, per_second);
}

void load_smoother::Reshape(const service_name& service,
                            const planned_step& step) {
  std::visit(
      overloaded{[](const move_slice&) {},
                 [&](const split_slice& s) { Divide(service, s.range, s.at); },
                 [&](const isolate_key& s) { Isolate(service, s); },
                 [&](const merge_slices& s) {
                   slices_[{service, s.left.first}] +=
                       slices_[{service, s.right.first}];
                   slices_.erase({service, s.right.first});
                 }},
      step);
}

// By the sizes of the parts, since nothing is known about their loads.
void load_smoother::Divide(const service_name& service,
                           const slice_range& range,
                           key_hash at) {
  double& whole = slices_[{service, range.first}];
  const slice_range right{at, range.last};
  const double part = whole * (right.Share() / range.Share());
  whole -= part;
  slices_[{service, at}] = part;
}

void load_smoother::Isolate(const service_name& service,
                            const isolate_key& step) {
  const auto known = hot_keys_.find({service, step.key});
  double& whole = slices_[{service, step.range.first}];
  const double of_key =
      known == hot_keys_.end() ? 0 : std::min(whole, known->second);
  whole -= of_key;
  if (step.key < step.range.last) {
    Divide(service, step.range, step.key + 1);
  }
  slices_[{service, step.key}] += of_key;
}

std::vector<slice_load> load_smoother::Slices(
    const service_name& service) const {
  return LoadsOf<slice_load>(slices_, service);
}

std::vector<key_load> load_smoother::HotKeys(
    const service_name& service) const {
  return LoadsOf<key_load>(hot_keys_, service);
}

}  // namespace bluebell
