#include "bluebell/keyspace/shard_load.h"

#include <variant>

#include "bluebell/core/overloaded.h"
#include "bluebell/keyspace/load_estimate.h"

namespace bluebell {

namespace {

// Keys with a lower load than this are removed.
constexpr double kNegligibleSlots = 1e-4;
constexpr seconds kCleanupInterval{5};
// The weight of a new measurement in the mean work.
constexpr double kWorkSampleWeight = 0.01;

}  // namespace

void shard_load_meter::SetPolicy(const rebalance_policy& policy, instant now) {
  std::visit(overloaded{[&](const gradual_rebalance&) {
                          mean_time_ = kGradualMeanTime;
                          trends_.clear();
                        },
                        [&](const complete_rebalance&) {
                          if (!trends_.empty()) {
                            return;
                          }
                          std::vector<double> blocks(kLoadBlockCount, 0);
                          for (const shard_load& load : MeasuredLoads(now)) {
                            blocks[load.key / kKeysPerLoadBlock] += load.slots;
                          }
                          mean_time_ = load_trend::kMeanTime;
                          for (const double slots : blocks) {
                            trends_.emplace_back(slots, now);
                          }
                        }},
             policy);
}

void shard_load_meter::Add(shard_key key, duration work, instant now) {
  loads_[key].Add(work, mean_time_, now);
  if (!trends_.empty()) {
    trends_[key / kKeysPerLoadBlock].Add(work, now);
    mean_work_ += (decaying_load::window(work) - mean_work_) *
                  (mean_work_.count() == 0 ? 1 : kWorkSampleWeight);
  }
  if (now >= next_cleanup_) {
    RemoveNegligible(now);
    next_cleanup_ = now + kCleanupInterval;
  }
}

void shard_load_meter::RemoveNegligible(instant now) {
  std::erase_if(loads_, [&](const auto& entry) {
    return entry.second.SlotsAt(mean_time_, now) < kNegligibleSlots;
  });
}

std::vector<shard_load> shard_load_meter::MeasuredLoads(instant now) const {
  std::vector<shard_load> loads;
  loads.reserve(loads_.size());
  for (const auto& [key, load] : loads_) {
    const double slots = load.SlotsAt(mean_time_, now);
    if (slots >= kNegligibleSlots) {
      loads.push_back({key, slots});
    }
  }
  return loads;
}

std::vector<shard_load> shard_load_meter::Loads(instant now) const {
  std::vector<shard_load> loads = MeasuredLoads(now);
  if (trends_.empty()) {
    return loads;
  }
  load_sampling sampling{mean_time_, mean_work_, {}};
  sampling.corrections.reserve(trends_.size());
  for (const load_trend& trend : trends_) {
    sampling.corrections.push_back(trend.CorrectionAt(now));
  }
  return EstimateLoads(loads, sampling);
}

}  // namespace bluebell
