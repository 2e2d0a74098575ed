#include "bluebell/permits/endpoint_performance.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));

TEST_CASE("a single daemon needs more requests without a response to suspend") {
  endpoint_performance performance;
  performance.OnNoResponse(1, kStart);
  performance.OnNoResponse(1, kStart);
  CHECK(!performance.IsSuspended(kStart));
  performance.OnNoResponse(1, kStart);
  CHECK(performance.IsSuspended(kStart));
}

TEST_CASE("two daemons without a response suspend, and an answer ends it") {
  endpoint_performance performance;
  performance.OnNoResponse(1, kStart);
  performance.OnNoResponse(2, kStart);
  CHECK(performance.IsSuspended(kStart));
  CHECK(performance.IsOnProbation());
  performance.OnAnswered(milliseconds(100), milliseconds(100), kStart);
  CHECK(!performance.IsSuspended(kStart));
  CHECK(!performance.IsOnProbation());
}

TEST_CASE("the suspension of an unresponsive endpoint is bounded") {
  endpoint_performance performance;
  instant now = kStart;
  for (std::uint64_t round = 0; round < 20; ++round) {
    performance.OnNoResponse(round, now);
    now += seconds(5);
    CHECK(!performance.IsSuspended(now));
  }
}

TEST_CASE("the slowness of an endpoint decays without new measurements") {
  endpoint_performance performance;
  for (int i = 0; i < 30; ++i) {
    performance.OnAnswered(milliseconds(500), milliseconds(100), kStart);
  }
  CHECK(performance.SlownessAt(kStart) > 4);
  CHECK(performance.SlownessAt(kStart + seconds(60)) < 1.2);
}

TEST_CASE("failures lower the success ratio until they decay") {
  endpoint_performance performance;
  for (int i = 0; i < 10; ++i) {
    performance.OnFailed(kStart);
  }
  CHECK(performance.SuccessRatioAt(kStart) < 0.2);
  CHECK(performance.SuccessRatioAt(kStart) >= 0.05);
  CHECK(performance.SuccessRatioAt(kStart + seconds(20)) > 0.9);
}

}  // namespace
}  // namespace bluebell
