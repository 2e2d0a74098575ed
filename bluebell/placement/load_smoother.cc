#include "bluebell/placement/load_smoother.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <variant>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

// Entries with less slot time per second than this are dropped.
constexpr double kNegligibleNsPerSecond = 1'000;

key_hash HashOf(const slice_load& load) {
  return load.first;
}

key_hash HashOf(const key_load& load) {
  return load.hash;
}

using load_map = std::map<std::pair<service_name, key_hash>, double>;

template <typename Load>
void UpdateMeans(load_map& means,
                 const std::vector<Load>& loads,
                 double weight,
                 double periods_per_second) {
  for (auto& [key, value] : means) {
    value *= 1 - weight;
  }
  for (const Load& load : loads) {
    const auto slot_time_ns = static_cast<double>(load.slot_time.count());
    means[{load.service, HashOf(load)}] +=
        weight * slot_time_ns * periods_per_second;
  }
  std::erase_if(means, [](const auto& entry) {
    return entry.second < kNegligibleNsPerSecond;
  });
}

template <typename Load>
std::vector<Load> LoadsOf(const load_map& means, const service_name& service) {
  std::vector<Load> loads;
  for (auto entry = means.lower_bound({service, 0});
       entry != means.end() && entry->first.first == service; ++entry) {
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
  const double periods_per_second = 1 / period.count();
  UpdateMeans(slices_, report.slices, weight, periods_per_second);
  UpdateMeans(hot_keys_, report.hot_keys, weight, periods_per_second);
}

void load_smoother::Reshape(const service_name& service,
                            const planned_step& step) {
  std::visit(
      overloaded{
          [](const move_slice&) {},
          [&](const split_slice& s) { SplitLoad(service, s.range, s.at); },
          [&](const isolate_key& s) { IsolateKeyLoad(service, s); },
          [&](const merge_slices& s) {
            slices_[{service, s.left.first}] +=
                slices_[{service, s.right.first}];
            slices_.erase({service, s.right.first});
          }},
      step);
}

// Splits in proportion to the sizes of the parts, since their loads are not
// known separately.
void load_smoother::SplitLoad(const service_name& service,
                              const slice_range& range,
                              key_hash at) {
  double& whole = slices_[{service, range.first}];
  const slice_range right{at, range.last};
  const double right_load =
      whole * (right.HashSpaceShare() / range.HashSpaceShare());
  whole -= right_load;
  slices_[{service, at}] = right_load;
}

void load_smoother::IsolateKeyLoad(const service_name& service,
                                   const isolate_key& step) {
  const auto hot_key = hot_keys_.find({service, step.key});
  double& whole = slices_[{service, step.range.first}];
  const double hot_key_load =
      hot_key == hot_keys_.end() ? 0 : std::min(whole, hot_key->second);
  whole -= hot_key_load;
  if (step.key < step.range.last) {
    SplitLoad(service, step.range, step.key + 1);
  }
  slices_[{service, step.key}] += hot_key_load;
}

std::vector<slice_load> load_smoother::SliceLoads(
    const service_name& service) const {
  return LoadsOf<slice_load>(slices_, service);
}

std::vector<key_load> load_smoother::HotKeyLoads(
    const service_name& service) const {
  return LoadsOf<key_load>(hot_keys_, service);
}

}  // namespace bluebell
