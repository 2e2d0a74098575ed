#include "bluebell/placement/rebalance_planner.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "bluebell/core/overloaded.h"
#include "bluebell/placement/placement_policy.h"

namespace bluebell {
namespace {

const service_name kService("tracker");

rebalance_input Input(std::uint32_t endpoints, std::uint32_t slices) {
  rebalance_input input;
  for (std::uint32_t i = 0; i < endpoints; ++i) {
    usable_endpoint endpoint;
    endpoint.instance = {endpoint_id("e" + std::to_string(i)), incarnation(1)};
    endpoint.domain = domain_name("d" + std::to_string(i % 3));
    endpoint.slots = 2;
    input.endpoints.push_back(endpoint);
  }
  for (const slice_range& range : DivideHashSpace(slices)) {
    input.slices.push_back({range, unassigned{}});
  }
  return input;
}

// A table with random owners, loads, hot keys and draining endpoints.
rebalance_input AnyInput() {
  rebalance_input input =
      Input(*rc::gen::inRange(1U, 12U), *rc::gen::inRange(1U, 40U));
  for (usable_endpoint& endpoint : input.endpoints) {
    endpoint.draining = *rc::gen::inRange(0, 5) == 0;
  }
  for (slice& current : input.slices) {
    const auto owner =
        *rc::gen::inRange(std::size_t{0}, input.endpoints.size() + 1);
    if (owner < input.endpoints.size()) {
      current.state =
          owned{input.endpoints[owner].instance, domain_name(), epoch(1)};
    }
    const int load = *rc::gen::inRange(0, 1'000);
    input.loads.push_back({kService, current.range.first, milliseconds(load)});
    if (*rc::gen::inRange(0, 4) == 0) {
      const key_hash key = *rc::gen::element(
          current.range.first, current.range.last,
          current.range.first + (current.range.last - current.range.first) / 3);
      input.hot_keys.push_back({kService, key, milliseconds(load / 2)});
    }
  }
  return input;
}

bool IsAssignable(const rebalance_input& input,
                  const endpoint_instance& instance) {
  return std::any_of(input.endpoints.begin(), input.endpoints.end(),
                     [&](const usable_endpoint& e) {
                       return e.instance == instance && !e.draining;
                     });
}

bool Exists(const rebalance_input& input, const slice_range& range) {
  return std::any_of(input.slices.begin(), input.slices.end(),
                     [&](const slice& s) { return s.range == range; });
}

TEST_CASE("a plan contains only valid slices, hashes and endpoints") {
  const bool holds = rc::check([] {
    const rebalance_input input = AnyInput();
    const rebalance_limits limits;
    std::set<slice_range> used_ranges;
    std::uint32_t moves = 0;
    std::uint32_t reshapes = 0;
    const auto check_and_mark = [&](const slice_range& range) {
      RC_ASSERT(Exists(input, range));
      RC_ASSERT(used_ranges.insert(range).second);
    };
    for (const planned_step& step : PlanRebalance(input, limits)) {
      std::visit(
          overloaded{[&](const move_slice& s) {
                       check_and_mark(s.range);
                       RC_ASSERT(IsAssignable(input, s.to));
                       ++moves;
                     },
                     [&](const split_slice& s) {
                       check_and_mark(s.range);
                       RC_ASSERT(s.range.first < s.at && s.at <= s.range.last);
                       ++reshapes;
                     },
                     [&](const isolate_key& s) {
                       check_and_mark(s.range);
                       RC_ASSERT(s.range.Contains(s.key));
                       RC_ASSERT(s.range.first < s.range.last);
                       ++reshapes;
                     },
                     [&](const merge_slices& s) {
                       check_and_mark(s.left);
                       check_and_mark(s.right);
                       RC_ASSERT(s.left.last + 1 == s.right.first);
                       ++reshapes;
                     }},
          step);
    }
    RC_ASSERT(moves <= limits.max_moves);
    RC_ASSERT(reshapes <= limits.max_reshapes);
  });
  CHECK(holds);
}

TEST_CASE(
    "every slice without an owner is assigned to an endpoint that isn't "
    "draining") {
  const bool holds = rc::check([] {
    const rebalance_input input = AnyInput();
    const bool any_usable =
        std::any_of(input.endpoints.begin(), input.endpoints.end(),
                    [](const usable_endpoint& e) { return !e.draining; });
    const auto unowned = static_cast<std::size_t>(std::count_if(
        input.slices.begin(), input.slices.end(), [](const slice& s) {
          return std::holds_alternative<unassigned>(s.state);
        }));
    for (const placement_policy& policy :
         {placement_policy(measured_load_placement{}),
          placement_policy(consistent_hash_placement{})}) {
      const std::vector<move_slice> moves = PlanOwners(policy, input);
      RC_ASSERT(moves.size() == (any_usable ? unowned : 0));
      for (const move_slice& move : moves) {
        RC_ASSERT(IsAssignable(input, move.to));
      }
    }
  });
  CHECK(holds);
}

TEST_CASE("slices of an empty table are spread evenly over failure domains") {
  const rebalance_input input = Input(15, 64);
  std::map<endpoint_instance, int> by_endpoint;
  std::map<std::size_t, int> by_domain;
  for (const move_slice& move : AssignOwners(input)) {
    ++by_endpoint[move.to];
    const auto& e = move.to.endpoint.value();
    ++by_domain[std::stoul(e.substr(1)) % 3];
  }
  for (const auto& [endpoint, count] : by_endpoint) {
    CHECK((count == 4 || count == 5));
  }
  CHECK(by_endpoint.size() == 15);
  for (const auto& [domain, count] : by_domain) {
    CHECK((count == 21 || count == 22));
  }
}

TEST_CASE("a balanced table is not changed") {
  rebalance_input input = Input(4, 16);
  for (std::size_t i = 0; i < input.slices.size(); ++i) {
    input.slices[i].state =
        owned{input.endpoints[i % 4].instance, domain_name(), epoch(1)};
    const int load = i % 4 == 0 ? 110 : 100;
    input.loads.push_back(
        {kService, input.slices[i].range.first, milliseconds(load)});
  }
  CHECK(Imbalance(input) < 1.15);
  CHECK(PlanRebalance(input, {}).empty());
}

TEST_CASE("a placement policy with an unknown name is rejected") {
  CHECK(ParsePlacementPolicy("bluebell"));
  CHECK(ParsePlacementPolicy("consistent_hash"));
  CHECK_FALSE(ParsePlacementPolicy("random"));
}

}  // namespace
}  // namespace bluebell
