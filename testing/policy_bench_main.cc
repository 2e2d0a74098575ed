// Measures queue and placement policies against each other in virtual time.

#include <array>
#include <cstdio>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "testing/placement_bench.h"
#include "testing/queue_bench.h"
#include "testing/queue_scenarios.h"

namespace bluebell {
namespace {

using named_policy = std::pair<std::string, queue_policy>;

void PrintRow(const std::string& label, const stream_result& result) {
  std::ignore = std::printf(
      "  %-14s in_time %.4f late %.4f refused %.3f expired %.4f used %.3f "
      "p50 %.1f p99 %.1f ms\n",
      label.c_str(), result.InTimeShare(),
      static_cast<double>(result.late) / static_cast<double>(result.arrived),
      static_cast<double>(result.refused) / static_cast<double>(result.arrived),
      static_cast<double>(result.expired) / static_cast<double>(result.arrived),
      result.used_share, result.Percentile(50), result.Percentile(99));
}

void Measure(queue_scenario scenario,
             const named_policy& policy,
             service_spread spread) {
  scenario.setup.policy = policy.second;
  scenario.setup.spread = spread;
  const queue_bench_result result = RunQueueBench(scenario.setup);
  std::ignore = std::printf(
      "%s slots %u %s %s: goodput %.3f\n", scenario.name.c_str(),
      scenario.setup.slots, policy.first.c_str(),
      spread == service_spread::kExponential ? "exponential" : "narrow",
      result.all.good_share);
  for (const auto& [priority, row] : result.by_rank) {
    PrintRow(std::string(ToString(priority)), row);
  }
  for (const auto& [caller, row] : result.by_caller) {
    if (caller.find("flood") == std::string::npos) {
      PrintRow(caller, row);
    }
  }
}

void MeasurePlacement(const std::string& name,
                      const placement_policy& policy,
                      const placement_bench_setup& setup) {
  placement_bench bench(setup);
  constexpr std::size_t kRounds = 60;
  const placement_result settled = bench.Run(policy, kRounds);
  const placement_result later = bench.Run(policy, kRounds);
  bench.Drain(3);
  const double least = bench.LeastMove(1.15) + bench.RoomForHeaviest(3, 1.15);
  const placement_result drained = bench.Run(policy, kRounds);
  std::ignore = std::printf(
      "placement %s endpoints %u zipf %.1f noise %.1f heaviest key %.2f: "
      "imbalance %.3f moves %zu, 60 s later %zu, slices %zu; drain: moved "
      "%.3f least %.3f imbalance %.3f\n",
      name.c_str(), setup.endpoints, setup.zipf_exponent, setup.noise,
      bench.HeaviestKey(), settled.imbalance, settled.moves, later.moves,
      settled.slices, drained.moved_load, least, drained.imbalance);
}

void MeasurePlacements() {
  for (const std::uint32_t slots : {2U, 6U}) {
    for (const double exponent : {0.6, 0.9, 1.1}) {
      for (const double noise : {0.0, 0.2}) {
        placement_bench_setup setup;
        setup.endpoints = slots == 2 ? 15 : 13;
        setup.slots = slots;
        setup.zipf_exponent = exponent;
        setup.noise = noise;
        MeasurePlacement("bluebell", measured_load_placement{}, setup);
        MeasurePlacement("consistent_hash", consistent_hash_placement{}, setup);
      }
    }
  }
}

}  // namespace
}  // namespace bluebell

int main() {
  bluebell::MeasurePlacements();
  using bluebell::service_spread;
  const std::vector<bluebell::named_policy> policies = {
      {"bluebell", bluebell::ranked_policy{0}},
      {"held_slot", bluebell::ranked_policy{1}},
      {"fifo", bluebell::fifo_policy{}},
      {"per_host_limit", bluebell::per_host_limit_policy{}}};
  for (const std::uint32_t slots : {2U, 6U}) {
    for (const auto& scenario : bluebell::QueueScenarios(slots)) {
      for (const auto& policy : policies) {
        for (const auto spread :
             {service_spread::kExponential, service_spread::kNarrow}) {
          bluebell::Measure(scenario, policy, spread);
        }
      }
    }
  }
}
