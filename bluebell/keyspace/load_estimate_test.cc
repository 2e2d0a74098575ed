#include "bluebell/keyspace/load_estimate.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/keyspace/key_load_index.h"
#include "bluebell/keyspace/load_trend.h"

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
constexpr milliseconds kWork{300};

load_sampling Sampling() {
  return {load_trend::kMeanTime, decaying_load::window(kWork),
          std::vector<double>(kLoadBlockCount, 1)};
}

// Requests for keys that are equally busy, as they are measured.
std::vector<shard_load> MeasuredEvenly(std::uint32_t seed) {
  std::mt19937 random(seed);
  std::poisson_distribution<int> requests(10);
  std::vector<shard_load> measured;
  for (std::size_t block = 0; block < kLoadBlockCount; ++block) {
    measured.push_back({static_cast<shard_key>(block * kKeysPerLoadBlock),
                        requests(random) * 0.03});
  }
  return measured;
}

// Guards against moves that follow the chance by which requests arrive.
TEST_CASE("keys whose loads differ by chance count as equally busy") {
  const std::vector<shard_load> loads =
      EstimateLoads(MeasuredEvenly(7), Sampling());
  const key_load_index index(loads, 0);
  const double half = index.LoadOf({0, 32'767});
  const double other_half = index.LoadOf({32'768, kLastShardKey});
  CHECK(half == Approx(other_half).epsilon(0.02));
  CHECK(index.LoadOf({0, 639}) == Approx(half / 51.2).epsilon(0.1));
}

TEST_CASE("keys that are busier than chance explains keep their load") {
  std::vector<shard_load> measured = MeasuredEvenly(7);
  measured[100].slots = 20;
  const key_load_index index(EstimateLoads(measured, Sampling()), 0);
  CHECK(index.LoadOf({6'400, 6'463}) == Approx(20));
}

// Guards against owners that are relieved only when a mean over seconds shows
// that their keys have become busy or quiet.
TEST_CASE("a trend shows a change of the load within half a second") {
  load_trend trend;
  instant now = kStart;
  const auto run = [&](milliseconds interval, milliseconds length) {
    for (const instant end = now + length; now < end; now += interval) {
      trend.Add(kWork, now);
    }
  };
  run(milliseconds(800), seconds(20));
  CHECK(trend.CorrectionAt(now) == 1);
  run(milliseconds(10), milliseconds(400));
  CHECK(trend.CorrectionAt(now) > 5);
  run(milliseconds(10), seconds(20));
  CHECK(trend.CorrectionAt(now) == Approx(1).epsilon(0.1));
  now += milliseconds(500);
  CHECK(trend.CorrectionAt(now) < 0.5);
}

TEST_CASE("the index finds the longest parts of a range") {
  const key_load_index index({{10, 1}, {20, 2}, {30, 4}}, 0);
  CHECK(index.LoadOf({10, 20}) == Approx(3));
  CHECK(index.LoadOf({11, 19}) == Approx(0));
  CHECK(index.LongestPrefix({10, 40}, 3) == shard_key{29});
  CHECK(index.LongestPrefix({10, 40}, 0.5) == std::nullopt);
  CHECK(index.LongestSuffix({5, 30}, 3) == std::nullopt);
  CHECK(index.LongestSuffix({5, 30}, 6) == shard_key{11});
  CHECK(index.LongestPrefix({0, kLastShardKey}, 10) == kLastShardKey);
}

}  // namespace
}  // namespace bluebell
