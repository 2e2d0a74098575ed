#include "bluebell/placement/internal/load_projection.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <variant>

#include "bluebell/core/key_hash.h"
#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

// In addition to its measured load, each slice counts with this part of the
// total load, in proportion to its share of the hash space. This spreads slices
// without load over the endpoints as well.
constexpr double kPriorLoadShare = 0.001;

std::optional<std::size_t> FindInstance(const rebalance_input& input,
                                        const endpoint_instance& instance) {
  const auto found = std::find_if(
      input.endpoints.begin(), input.endpoints.end(),
      [&](const usable_endpoint& e) { return e.instance == instance; });
  if (found == input.endpoints.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - input.endpoints.begin());
}

std::optional<std::size_t> FindMoveTarget(const rebalance_input& input,
                                          const moving& state) {
  const auto found =
      std::find_if(input.endpoints.begin(), input.endpoints.end(),
                   [&](const usable_endpoint& e) {
                     return e.instance.endpoint == state.to && !e.draining;
                   });
  if (found == input.endpoints.end()) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(found - input.endpoints.begin());
}

// The endpoint that has the load of the slice now, or will have it after the
// move in progress.
std::optional<std::size_t> CurrentOrNextOwner(const rebalance_input& input,
                                              const slice& current) {
  return std::visit(
      overloaded{[](const unassigned&) -> std::optional<std::size_t> {
                   return std::nullopt;
                 },
                 [&](const owned& s) { return FindInstance(input, s.owner); },
                 [&](const moving& s) { return FindMoveTarget(input, s); }},
      current.state);
}

std::vector<double> SliceLoads(const rebalance_input& input) {
  std::map<key_hash, double> measured;
  double total = 0;
  for (const slice_load& item : input.loads) {
    const auto slot_time_ns = static_cast<double>(item.slot_time.count());
    measured[item.first] += slot_time_ns;
    total += slot_time_ns;
  }
  const double prior_load = total > 0 ? kPriorLoadShare * total : 1;
  std::vector<double> loads;
  loads.reserve(input.slices.size());
  for (const slice& item : input.slices) {
    const auto found = measured.find(item.range.first);
    const double measured_load = found == measured.end() ? 0 : found->second;
    loads.push_back(measured_load + prior_load * item.range.HashSpaceShare());
  }
  return loads;
}

}  // namespace

bool NeedsOwner(const rebalance_input& input, const slice& current) {
  return !std::holds_alternative<owned>(current.state) &&
         !CurrentOrNextOwner(input, current);
}

load_projection::load_projection(const rebalance_input& input)
    : input_(input),
      slice_loads_(SliceLoads(input)),
      owner_of_slice_(input.slices.size()),
      endpoint_loads_(input.endpoints.size(), 0.0) {
  double slots = 0;
  for (const usable_endpoint& endpoint : input.endpoints) {
    slots += endpoint.draining ? 0 : endpoint.slots;
  }
  const double total =
      std::accumulate(slice_loads_.begin(), slice_loads_.end(), 0.0);
  mean_load_per_slot_ = slots > 0 ? total / slots : 0;
  for (std::size_t i = 0; i < input.slices.size(); ++i) {
    owner_of_slice_[i] = CurrentOrNextOwner(input, input.slices[i]);
    if (owner_of_slice_[i]) {
      endpoint_loads_[*owner_of_slice_[i]] += slice_loads_[i];
    }
  }
}

double load_projection::EndpointLoadRatio(std::size_t endpoint) const {
  return endpoint_loads_[endpoint] / MeanLoadOfEndpoint(endpoint);
}

double load_projection::SliceLoadRatio(std::size_t slice,
                                       std::size_t endpoint) const {
  return slice_loads_[slice] / MeanLoadOfEndpoint(endpoint);
}

double load_projection::MeanLoadOfEndpoint(std::size_t endpoint) const {
  const double mean = mean_load_per_slot_ * input_.endpoints[endpoint].slots;
  return std::max(mean, 1e-12);
}

std::optional<std::size_t> load_projection::LeastLoaded() const {
  std::optional<std::size_t> best;
  for (std::size_t i = 0; i < endpoint_loads_.size(); ++i) {
    if (!input_.endpoints[i].draining && (!best || IsLessLoaded(i, *best))) {
      best = i;
    }
  }
  return best;
}

bool load_projection::IsLessLoaded(std::size_t candidate,
                                   std::size_t best) const {
  const double difference =
      EndpointLoadRatio(candidate) - EndpointLoadRatio(best);
  // Sums of the same loads in a different order can differ by rounding errors.
  if (std::abs(difference) > 1e-9) {
    return difference < 0;
  }
  return DomainLoadPerSlot(input_.endpoints[candidate].domain) <
         DomainLoadPerSlot(input_.endpoints[best].domain);
}

void load_projection::Assign(std::size_t slice, std::size_t endpoint) {
  if (owner_of_slice_[slice]) {
    endpoint_loads_[*owner_of_slice_[slice]] -= slice_loads_[slice];
  }
  owner_of_slice_[slice] = endpoint;
  endpoint_loads_[endpoint] += slice_loads_[slice];
}

double load_projection::DomainLoadPerSlot(const domain_name& domain) const {
  double load = 0;
  double slots = 0;
  for (std::size_t i = 0; i < endpoint_loads_.size(); ++i) {
    if (input_.endpoints[i].domain == domain && !input_.endpoints[i].draining) {
      load += endpoint_loads_[i];
      slots += input_.endpoints[i].slots;
    }
  }
  return slots > 0 ? load / slots : 0;
}

}  // namespace bluebell
