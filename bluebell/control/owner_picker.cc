#include "bluebell/control/owner_picker.h"

#include <algorithm>
#include <tuple>
#include <variant>

namespace bluebell {

namespace {

// Weight of the measured load against the share of the hash space.
constexpr double kMeasuredWeight = 0.9;

}  // namespace

owner_picker::owner_picker(const placement_inputs& inputs) {
  for (const slice_load& load : inputs.load.slices) {
    if (load.service == inputs.keeper.table().service()) {
      const double slot_time =
          std::chrono::duration<double>(load.slot_time).count();
      measured_[load.first] += slot_time;
      total_measured_ += slot_time;
    }
  }
  std::map<endpoint_instance, double> loads;
  for (const slice& current : inputs.keeper.table().slices()) {
    if (const auto owner = OwnerOf(current.state)) {
      loads[*owner] += LoadOf(current);
    }
  }
  for (const endpoint_info& endpoint : inputs.endpoints) {
    if (endpoint.usable() && !inputs.silent_domains.contains(endpoint.domain)) {
      candidates_.push_back({&endpoint, loads[endpoint.instance]});
    }
  }
}

double owner_picker::LoadOf(const slice& current) const {
  const double share = current.range.Share();
  const auto found = measured_.find(current.range.first);
  if (total_measured_ <= 0) {
    return share;
  }
  const double measured =
      found == measured_.end() ? 0 : found->second / total_measured_;
  return kMeasuredWeight * measured + (1 - kMeasuredWeight) * share;
}

const endpoint_info* owner_picker::Pick(const slice& current) {
  const auto* leaving = std::get_if<moving>(&current.state);
  if (leaving && leaving->to) {
    for (candidate& wanted : candidates_) {
      if (wanted.endpoint->instance.endpoint == *leaving->to) {
        wanted.load += LoadOf(current);
        return wanted.endpoint;
      }
    }
  }
  const auto least =
      std::min_element(candidates_.begin(), candidates_.end(),
                       [](const candidate& a, const candidate& b) {
                         return std::tie(a.load, a.endpoint->instance) <
                                std::tie(b.load, b.endpoint->instance);
                       });
  if (least == candidates_.end()) {
    return nullptr;
  }
  least->load += LoadOf(current);
  return least->endpoint;
}

}  // namespace bluebell
