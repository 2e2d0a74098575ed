#include "testing/decision_run.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

TEST_CASE("random faults never give a key two owners or revert a setting") {
  const std::uint64_t seed = GENERATE(range(1, 9));
  const run_counts counts = RunDecisions(seed, run_options{});
  CAPTURE(seed);
  CHECK(counts.violations.empty());
  CHECK(counts.faults > 0);
}

TEST_CASE("the same seed gives the same run, or a fault can't be traced") {
  run_options options;
  options.with_faults = seconds(5);
  const run_counts first = RunDecisions(3, options);
  const run_counts second = RunDecisions(3, options);
  CHECK(first.served == second.served);
  CHECK(first.moves == second.moves);
  CHECK(first.unavailable_key_seconds == second.unavailable_key_seconds);
}

}  // namespace
}  // namespace bluebell
