#include "bluebell/permits/endpoint_standing.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));

TEST_CASE("a single daemon needs more requests without a response to suspend") {
  endpoint_standing standing;
  standing.OnSilent(1, kStart);
  standing.OnSilent(1, kStart);
  CHECK(!standing.IsSuspended(kStart));
  standing.OnSilent(1, kStart);
  CHECK(standing.IsSuspended(kStart));
}

TEST_CASE("two daemons without a response suspend, and an answer ends it") {
  endpoint_standing standing;
  standing.OnSilent(1, kStart);
  standing.OnSilent(2, kStart);
  CHECK(standing.IsSuspended(kStart));
  CHECK(standing.IsOnProbation());
  standing.OnAnswered(milliseconds(100), milliseconds(100), kStart);
  CHECK(!standing.IsSuspended(kStart));
  CHECK(!standing.IsOnProbation());
}

TEST_CASE("the suspension of an unresponsive endpoint is bounded") {
  endpoint_standing standing;
  instant now = kStart;
  for (std::uint64_t round = 0; round < 20; ++round) {
    standing.OnSilent(round, now);
    now += seconds(5);
    CHECK(!standing.IsSuspended(now));
  }
}

TEST_CASE("the slowness of an endpoint decays without new measurements") {
  endpoint_standing standing;
  for (int i = 0; i < 30; ++i) {
    standing.OnAnswered(milliseconds(500), milliseconds(100), kStart);
  }
  CHECK(standing.SlownessAt(kStart) > 4);
  CHECK(standing.SlownessAt(kStart + seconds(60)) < 1.2);
}

TEST_CASE("failures lower the success ratio until they decay") {
  endpoint_standing standing;
  for (int i = 0; i < 10; ++i) {
    standing.OnFailed(kStart);
  }
  CHECK(standing.SuccessAt(kStart) < 0.2);
  CHECK(standing.SuccessAt(kStart) >= 0.05);
  CHECK(standing.SuccessAt(kStart + seconds(20)) > 0.9);
}

}  // namespace
}  // namespace bluebell
