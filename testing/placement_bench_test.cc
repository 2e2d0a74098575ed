// The bounds are the targets of the design page, not measured values.

#include "testing/placement_bench.h"

#include <algorithm>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace bluebell {
namespace {

constexpr double kTarget = 1.15;
const placement_policy kPolicy = measured_load_placement{};

placement_bench_setup Setup(bool small) {
  placement_bench_setup setup;
  setup.endpoints = small ? 15 : 13;
  setup.slots = small ? 2 : 6;
  return setup;
}

placement_bench_setup AnySetup() {
  placement_bench_setup setup = Setup(*rc::gen::arbitrary<bool>());
  setup.keys = 3'000;
  setup.zipf_exponent = 0.1 * *rc::gen::inRange(0, 13);
  setup.noise = 0.1 * *rc::gen::inRange(0, 3);
  setup.seed = *rc::gen::inRange(1U, 1'000'000U);
  return setup;
}

// A key that exceeds an endpoint sets the bound itself.
double Bound(const placement_bench& bench) {
  return std::max(kTarget, kTarget * bench.HeaviestKey());
}

TEST_CASE("load settles evenly, whatever the keys, and then stays put") {
  const bool holds = rc::check([] {
    placement_bench bench(AnySetup());
    const placement_result result = bench.Run(kPolicy, 60);
    RC_ASSERT(result.valid);
    RC_ASSERT(result.imbalance <= Bound(bench));
    RC_ASSERT(result.most_moves_in_round <= rebalance_limits().max_moves);
    RC_ASSERT(bench.Run(kPolicy, 60).moves <= 4U);
  });
  CHECK(holds);
}

TEST_CASE("load that settles just above the target is moved, seed 8541") {
  placement_bench_setup setup = Setup(true);
  setup.keys = 3'000;
  setup.zipf_exponent = 0;
  setup.noise = 0;
  setup.seed = 8'541;
  placement_bench bench(setup);
  CHECK(bench.Run(kPolicy, 60).imbalance <= Bound(bench));
}

TEST_CASE("a draining endpoint is emptied and little else moves") {
  for (const bool small : {true, false}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      placement_bench_setup setup = Setup(small);
      setup.zipf_exponent = 0.8;
      setup.seed = seed;
      placement_bench bench(setup);
      bench.Run(kPolicy, 60);
      bench.Drain(3);
      const double least =
          bench.LeastMove(kTarget) + bench.RoomForHeaviest(3, kTarget);
      const placement_result result = bench.Run(kPolicy, 60);
      INFO("endpoints " << setup.endpoints << " seed " << seed);
      CHECK(bench.SlicesOf(3) == 0);
      CHECK(result.imbalance <= Bound(bench));
      CHECK(result.moved_load <= 1.2 * least);
    }
  }
}

TEST_CASE("the loss of an endpoint moves nothing without need") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    placement_bench_setup setup = Setup(true);
    setup.zipf_exponent = 0.8;
    setup.seed = seed;
    placement_bench bench(setup);
    bench.Run(kPolicy, 60);
    bench.Drain(3);
    const double lost = bench.Relative(3);
    const double room = bench.RoomForHeaviest(3, kTarget);
    bench.Lose(3);
    const placement_result result = bench.Run(kPolicy, 60);
    INFO("seed " << seed);
    CHECK(result.imbalance <= Bound(bench));
    CHECK(lost + result.moved_load <= 1.2 * (lost + room));
  }
}

}  // namespace
}  // namespace bluebell
