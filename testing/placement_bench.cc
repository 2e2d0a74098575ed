#include "testing/placement_bench.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <variant>

#include "bluebell/core/overloaded.h"
#include "bluebell/placement/rebalance_planner.h"

namespace bluebell {

namespace {

const service_name kService("tracker");
constexpr double kTotalNanoseconds = 1e12;

}  // namespace

placement_bench::placement_bench(const placement_bench_setup& setup)
    : setup_(setup), noise_state_(setup.seed) {
  double sum = 0;
  for (std::size_t k = 1; k <= setup.keys; ++k) {
    sum += std::pow(static_cast<double>(k), -setup.zipf_exponent);
  }
  for (std::size_t k = 1; k <= setup.keys; ++k) {
    const std::string name =
        std::to_string(setup.seed) + "/" + std::to_string(k);
    keys_[HashKey(kService, name)] =
        kTotalNanoseconds *
        std::pow(static_cast<double>(k), -setup.zipf_exponent) / sum;
  }
  for (std::uint32_t i = 0; i < setup.endpoints; ++i) {
    usable_endpoint endpoint;
    endpoint.instance = {endpoint_id("endpoint-" + std::to_string(i)),
                         incarnation(1)};
    endpoint.domain = domain_name("d" + std::to_string(i % setup.domains));
    endpoint.slots = setup.slots;
    input_.endpoints.push_back(endpoint);
  }
  for (const slice_range& range : DivideHashSpace(setup.initial_slices)) {
    input_.slices.push_back({range, unassigned{}});
  }
}

placement_result placement_bench::Run(const placement_policy& policy,
                                      std::size_t rounds) {
  placement_result result;
  for (std::size_t round = 0; round < rounds; ++round) {
    AssignOpen(policy);
    Measure();
    const std::size_t before = result.moves;
    for (const planned_step& step : Plan(policy, input_, {})) {
      result.valid = Apply(step, result) && result.valid;
      smoother_.Reshape(kService, step);
    }
    const std::size_t moves = result.moves - before;
    result.most_moves_in_round = std::max(result.most_moves_in_round, moves);
    result.late_moves += round >= rounds / 2 ? moves : 0;
  }
  result.slices = input_.slices.size();
  for (std::size_t i = 0; i < input_.endpoints.size(); ++i) {
    if (!input_.endpoints[i].draining) {
      result.imbalance = std::max(result.imbalance, Relative(i));
    }
  }
  return result;
}

void placement_bench::Lose(std::size_t endpoint) {
  const endpoint_instance lost = input_.endpoints[endpoint].instance;
  for (slice& each : input_.slices) {
    const auto* state = std::get_if<owned>(&each.state);
    if (state != nullptr && state->owner == lost) {
      each.state = unassigned{state->at};
    }
  }
  input_.endpoints.erase(input_.endpoints.begin() +
                         static_cast<std::ptrdiff_t>(endpoint));
}

void placement_bench::AssignOpen(const placement_policy& policy) {
  for (const move_slice& move : PlanOwners(policy, input_)) {
    Find(move.range)->state = owned{move.to, domain_name(), epoch(1)};
  }
}

void placement_bench::Measure() {
  load_report report;
  report.period = seconds(1);
  for (const slice& each : input_.slices) {
    noise_state_ =
        noise_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    const double random =
        static_cast<double>(noise_state_ >> 11U) / 9007199254740992.0;
    const double factor = 1 + setup_.noise * (2 * random - 1);
    const auto load = static_cast<duration::rep>(LoadIn(each.range) * factor);
    report.slices.push_back({kService, each.range.first, duration(load)});
  }
  for (const auto& [where, load] : keys_) {
    if (load > 0.01 * MeanLoad()) {
      report.hot_keys.push_back(
          {kService, where, duration(static_cast<duration::rep>(load))});
    }
  }
  smoother_.Add(report);
  input_.loads = smoother_.SliceLoads(kService);
  input_.hot_keys = smoother_.HotKeyLoads(kService);
}

bool placement_bench::Apply(const planned_step& step,
                            placement_result& result) {
  return std::visit(
      overloaded{[&](const move_slice& s) {
                   slice* found = Find(s.range);
                   if (found == nullptr) {
                     return false;
                   }
                   ++result.moves;
                   result.moved_load += LoadIn(s.range) / MeanLoad();
                   found->state = owned{s.to, domain_name(), epoch(1)};
                   return true;
                 },
                 [&](const split_slice& s) { return Divide(s.range, s.at); },
                 [&](const isolate_key& s) {
                   slice_range rest = s.range;
                   bool ok = s.range.Contains(s.key);
                   if (s.key > rest.first) {
                     ok = Divide(rest, s.key) && ok;
                     rest.first = s.key;
                   }
                   return (s.key == rest.last || Divide(rest, s.key + 1)) && ok;
                 },
                 [&](const merge_slices& s) {
                   slice* left = Find(s.left);
                   slice* right = Find(s.right);
                   if (left == nullptr || right != left + 1 ||
                       left->state != right->state) {
                     return false;
                   }
                   left->range.last = s.right.last;
                   input_.slices.erase(input_.slices.begin() +
                                       (right - input_.slices.data()));
                   return true;
                 }},
      step);
}

double placement_bench::Relative(std::size_t endpoint) const {
  double load = 0;
  for (const slice& each : input_.slices) {
    const auto* state = std::get_if<owned>(&each.state);
    if (state != nullptr &&
        state->owner == input_.endpoints[endpoint].instance) {
      load += LoadIn(each.range);
    }
  }
  return load / MeanLoad();
}

double placement_bench::HeaviestKey() const {
  double heaviest = 0;
  for (const auto& [where, load] : keys_) {
    heaviest = std::max(heaviest, load);
  }
  return heaviest / MeanLoad();
}

double placement_bench::LeastMove(double bound) const {
  double sum = 0;
  for (std::size_t i = 0; i < input_.endpoints.size(); ++i) {
    const double limit = input_.endpoints[i].draining ? 0 : bound;
    sum += std::max(0.0, Relative(i) - limit);
  }
  return sum;
}

double placement_bench::RoomForHeaviest(std::size_t endpoint,
                                        double bound) const {
  double heaviest = 0;
  for (const slice& each : input_.slices) {
    const auto* state = std::get_if<owned>(&each.state);
    if (state != nullptr && each.range.first == each.range.last &&
        state->owner == input_.endpoints[endpoint].instance) {
      heaviest = std::max(heaviest, LoadIn(each.range) / MeanLoad());
    }
  }
  double emptiest = bound;
  for (std::size_t i = 0; i < input_.endpoints.size(); ++i) {
    if (i != endpoint && !input_.endpoints[i].draining) {
      emptiest = std::min(emptiest, Relative(i));
    }
  }
  return std::max(0.0, heaviest + emptiest - bound);
}

std::size_t placement_bench::SlicesOf(std::size_t endpoint) const {
  return static_cast<std::size_t>(std::count_if(
      input_.slices.begin(), input_.slices.end(), [&](const slice& each) {
        const auto* state = std::get_if<owned>(&each.state);
        return state != nullptr &&
               state->owner == input_.endpoints[endpoint].instance;
      }));
}

double placement_bench::LoadIn(const slice_range& range) const {
  double load = 0;
  for (auto key = keys_.lower_bound(range.first);
       key != keys_.end() && key->first <= range.last; ++key) {
    load += key->second;
  }
  return load;
}

double placement_bench::MeanLoad() const {
  const auto usable = std::count_if(
      input_.endpoints.begin(), input_.endpoints.end(),
      [](const usable_endpoint& endpoint) { return !endpoint.draining; });
  return kTotalNanoseconds / static_cast<double>(usable);
}

slice* placement_bench::Find(const slice_range& range) {
  const auto found =
      std::find_if(input_.slices.begin(), input_.slices.end(),
                   [&](const slice& each) { return each.range == range; });
  return found == input_.slices.end() ? nullptr : &*found;
}

bool placement_bench::Divide(const slice_range& range, key_hash at) {
  slice* left = Find(range);
  if (left == nullptr || at <= range.first || at > range.last) {
    return false;
  }
  slice right = *left;
  right.range.first = at;
  left->range.last = at - 1;
  input_.slices.insert(
      input_.slices.begin() + (left - input_.slices.data()) + 1, right);
  return true;
}

}  // namespace bluebell
