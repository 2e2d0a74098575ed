#include "bluebell/permits/cold_start_limit.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));

cold_start_bound MakeBound() {
  fleet_service service;
  service.warm_up_per_s = 5.1;
  return cold_start_bound::For(service, {1.5, 8}).value();
}

fleet_endpoint MakeColdEndpoint() {
  fleet_endpoint endpoint;
  endpoint.instance = {endpoint_id("i-1"), incarnation(1)};
  endpoint.cold_until = kStart + seconds(600);
  return endpoint;
}

// Guards against a limit where the platform or the configuration states none.
TEST_CASE("cold endpoints are limited only if rate and allowance are given") {
  fleet_service service;
  CHECK(!cold_start_bound::For(service, {1.5, 8}));
  service.warm_up_per_s = 5.1;
  CHECK(!cold_start_bound::For(service, {}));
  const auto bound = cold_start_bound::For(service, {1.5, 8});
  REQUIRE(bound);
  CHECK(bound->max_in_second == Approx(15.65));
  CHECK(bound->PermitsPerWindow() == 7);
  CHECK(cold_start_bound::For(service, {1.5, std::nullopt})->max_in_second ==
        Approx(7.65));

  cold_start_limit limit;
  CHECK(limit.MayIssue(MakeColdEndpoint(), kStart));
  CHECK(!limit.CapacityLimit(MakeColdEndpoint(), kStart));
}

// Guards against a retry time at which there is still no permit.
TEST_CASE("the next permit is issued at the time that was forecast") {
  const fleet_endpoint endpoint = MakeColdEndpoint();
  cold_start_limit limit;
  limit.SetBound(MakeBound());
  CHECK(limit.NextPermit(endpoint, 0, kStart) == endpoint.cold_until);
  limit.SetFirst(true, kStart);
  const instant first = limit.NextPermit(endpoint, 0, kStart);
  CHECK(first == kStart + cold_start_limit::kFirstWait);
  std::vector<instant> forecast;
  for (std::size_t ahead = 0; ahead < 30; ++ahead) {
    forecast.push_back(limit.NextPermit(endpoint, ahead, kStart));
  }
  instant now = kStart;
  for (const instant each : forecast) {
    CHECK_FALSE(limit.MayIssue(endpoint, each - duration(1)));
    now = each;
    REQUIRE(limit.MayIssue(endpoint, now));
    CHECK(limit.NextPermit(endpoint, 0, now) == now);
    limit.OnPermit(endpoint.instance.endpoint, now);
  }
  CHECK(limit.MayIssue(endpoint, endpoint.cold_until));
}

// Several dispatchers for one cold endpoint. Each has its own view of who is
// first, and at most two at a time consider themselves first. Returns the times
// at which requests arrive at the endpoint, in order.
std::vector<instant> RunDispatchers(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const auto draw = [&](std::int64_t most) {
    return std::uniform_int_distribution<std::int64_t>(0, most)(random);
  };
  const fleet_endpoint endpoint = MakeColdEndpoint();
  constexpr std::int64_t kLast = 3;
  std::array<cold_start_limit, kLast + 1> limits;
  std::vector<instant> arrivals;
  instant next_change = kStart;
  for (instant now = kStart; now < kStart + seconds(120);
       now += milliseconds(5)) {
    if (now >= next_change) {
      const std::array<std::int64_t, 2> first = {draw(kLast), draw(kLast)};
      for (std::int64_t i = 0; i <= kLast; ++i) {
        cold_start_limit& limit = limits.at(static_cast<std::size_t>(i));
        limit.SetBound(MakeBound());
        limit.SetFirst(i == first[0] || i == first[1], now);
      }
      // Both quick changes and lasting disagreements.
      next_change = now + milliseconds(draw(1) == 0 ? draw(200) : draw(6'000));
    }
    for (cold_start_limit& limit : limits) {
      while (limit.MayIssue(endpoint, now) && draw(20) > 0) {
        limit.OnPermit(endpoint.instance.endpoint, now);
        // Most permits are used at once or as late as allowed.
        const std::int64_t most = cold_start_limit::kMaxPermitDelay.count();
        const std::array<std::int64_t, 3> delays = {0, draw(most), most};
        arrivals.push_back(
            now + milliseconds(delays.at(static_cast<std::size_t>(draw(2)))));
      }
    }
  }
  std::sort(arrivals.begin(), arrivals.end());
  return arrivals;
}

// Guards against a cold endpoint that is overrun because permits are used late,
// because daemons disagree on who dispatches, or after a change of dispatcher.
TEST_CASE("a cold endpoint never gets more than the bound in any second") {
  const auto seed = GENERATE(range(1, 21));
  CAPTURE(seed);
  const std::vector<instant> arrivals =
      RunDispatchers(static_cast<std::uint64_t>(seed));
  constexpr std::size_t kMostInSecond = 15;
  std::size_t exceeded = 0;
  for (std::size_t i = kMostInSecond; i < arrivals.size(); ++i) {
    exceeded += arrivals[i] - arrivals[i - kMostInSecond] < seconds(1) ? 1 : 0;
  }
  CHECK(exceeded == 0);
  // The limit leaves an endpoint work while one dispatcher is first for long.
  CHECK(arrivals.size() > 100);
}

}  // namespace
}  // namespace bluebell
