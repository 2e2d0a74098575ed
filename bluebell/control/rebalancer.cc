#include "bluebell/control/rebalancer.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

// The shortest time between two plans, so that the measured load reflects one
// plan before the next is made.
constexpr seconds kPlanInterval{3};

// A move ends non-idempotent requests in flight with an unknown outcome.
// Therefore plans are made only if the busiest endpoint uses at least this
// share of its slot time.
constexpr double kMinBusiestShare = 0.1;

// The share of its slot time that the busiest endpoint uses, from 0 to 1.
double BusiestShare(const rebalance_input& input) {
  std::map<key_hash, double> loads;
  for (const slice_load& load : input.loads) {
    loads[load.first] = std::chrono::duration<double>(load.slot_time).count();
  }
  std::map<endpoint_instance, double> slot_seconds;
  for (const slice& current : input.slices) {
    if (const auto owner = OwnerOf(current.state)) {
      slot_seconds[*owner] += loads[current.range.first];
    }
  }
  double busiest = 0;
  for (const usable_endpoint& endpoint : input.endpoints) {
    busiest =
        std::max(busiest, slot_seconds[endpoint.instance] / endpoint.slots);
  }
  return busiest;
}

std::vector<table_edit> EditsOf(const planned_step& step) {
  return std::visit(
      overloaded{[](const move_slice& move) -> std::vector<table_edit> {
                   return {begin_move{move.range, move_cause::kRebalance,
                                      move.to.endpoint}};
                 },
                 [](const split_slice& split) -> std::vector<table_edit> {
                   return {split};
                 },
                 [](const merge_slices& merge) -> std::vector<table_edit> {
                   return {merge};
                 },
                 [](const isolate_key& isolate) {
                   std::vector<table_edit> edits;
                   slice_range rest = isolate.range;
                   if (isolate.key > rest.first) {
                     edits.emplace_back(split_slice{rest, isolate.key});
                     rest.first = isolate.key;
                   }
                   if (isolate.key < rest.last) {
                     edits.emplace_back(split_slice{rest, isolate.key + 1});
                   }
                   return edits;
                 }},
      step);
}

}  // namespace

rebalancer::rebalancer(const placement_policy& policy) : policy_(policy) {}

void rebalancer::AddLoad(const load_report& report) {
  smoother_.Add(report);
}

rebalance_input rebalancer::PlannerInput(const placement_inputs& inputs) const {
  const placement_table& table = inputs.local.table();
  rebalance_input input;
  input.slices = table.slices();
  input.loads = smoother_.SliceLoads(table.service());
  input.hot_keys = smoother_.HotKeyLoads(table.service());
  for (const endpoint_info& endpoint : inputs.endpoints) {
    if (endpoint.condition == endpoint_condition::kLost ||
        inputs.silent_domains.contains(endpoint.domain)) {
      continue;
    }
    input.endpoints.push_back(
        {endpoint.instance, endpoint.domain, inputs.local.spec().slots,
         endpoint.condition == endpoint_condition::kDraining});
  }
  return input;
}

std::vector<move_slice> rebalancer::PlanAssignments(
    const placement_inputs& inputs) const {
  return PlanOwners(policy_, PlannerInput(inputs));
}

std::vector<table_edit> rebalancer::Propose(const placement_inputs& inputs) {
  const auto& slices = inputs.local.table().slices();
  const bool all_owned = std::all_of(
      slices.begin(), slices.end(),
      [](const slice& s) { return std::holds_alternative<owned>(s.state); });
  const bool interval_elapsed =
      !last_planned_at_ || inputs.now - *last_planned_at_ >= kPlanInterval;
  if (!all_owned || !interval_elapsed) {
    return {};
  }
  last_planned_at_ = inputs.now;
  const rebalance_input input = PlannerInput(inputs);
  if (BusiestShare(input) < kMinBusiestShare) {
    return {};
  }
  constexpr std::uint32_t kSecondsPerMinute = 60;
  rebalance_limits limits;
  limits.max_moves = std::max<std::uint32_t>(
      1, inputs.values.moves_per_minute *
             static_cast<std::uint32_t>(kPlanInterval.count()) /
             kSecondsPerMinute);
  constexpr double kPercent = 100;
  limits.min_gain_ratio = inputs.values.min_move_gain_percent / kPercent;
  std::vector<table_edit> edits;
  for (const planned_step& step : Plan(policy_, input, limits)) {
    for (table_edit& edit : EditsOf(step)) {
      edits.push_back(std::move(edit));
    }
  }
  return edits;
}

void rebalancer::RecordWrittenEdits(const std::vector<table_edit>& edits,
                                    const service_name& service) {
  for (const table_edit& edit : edits) {
    if (const auto* split = std::get_if<split_slice>(&edit)) {
      smoother_.Reshape(service, *split);
    } else if (const auto* merge = std::get_if<merge_slices>(&edit)) {
      smoother_.Reshape(service, *merge);
    }
  }
}

}  // namespace bluebell
