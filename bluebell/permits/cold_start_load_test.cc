// Tests of the slot_scheduler with cold endpoints, in virtual time.

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/permits/slot_scheduler.h"

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
constexpr milliseconds kWork{300};

std::vector<fleet_endpoint> MakeEndpoints(int count) {
  std::vector<fleet_endpoint> entries(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    fleet_endpoint& entry = entries[static_cast<std::size_t>(i)];
    entry.instance = {endpoint_id(std::to_string(i)), incarnation(1)};
    entry.domain = domain_name(std::string(1, "abc"[i % 3]));
    entry.slots = 4;
  }
  return entries;
}

// A scheduler with one key for each endpoint, owned by it. Requests that run
// end after kWork.
class load_run {
 public:
  load_run(const std::vector<fleet_endpoint>& endpoints,
           bool is_limited,
           std::optional<instant> first_since) {
    std::vector<key_assignment> assignments;
    for (const fleet_endpoint& each : endpoints) {
      const auto key = static_cast<shard_key>(assignments.size());
      assignments.push_back(
          {{key, key}, each.instance, epoch(assignments.size() + 1)});
    }
    const epoch highest(assignments.size());
    const auto table = key_table::Make(highest, std::move(assignments)).value();
    fleet_service service;
    service.warm_up_per_s = 5.1;
    const warmup_allowance allowance =
        is_limited ? warmup_allowance{1.5, 8} : warmup_allowance();
    scheduler.SetColdStart(cold_start_bound::For(service, allowance),
                           first_since.has_value(),
                           first_since.value_or(kStart));
    scheduler.SetEndpoints(endpoints, &table, kStart);
  }

  void Request(std::optional<shard_key> key, instant now) {
    permit_request message;
    message.id = {1, ++last_number_};
    message.domain = domain_name("a");
    message.key = key;
    message.objective_left_ms = 900;
    message.time_left_ms = 2'000;
    scheduler.RequestPermit(message, now);
    Advance(now);
  }

  // Handles what is due at `now`.
  void Advance(instant now) {
    while (!ends_.empty() && ends_.begin()->first <= now) {
      permit_release release;
      release.id = ends_.begin()->second;
      release.outcome = permit_outcome::kAnswered;
      release.took_ms = static_cast<std::uint32_t>(kWork.count());
      ends_.erase(ends_.begin());
      scheduler.ReleasePermit(release, now);
    }
    for (const permit_reply& reply : scheduler.TakeReplies(now)) {
      if (const auto* granted = std::get_if<permit_granted>(&reply)) {
        permits[std::stoi(granted->endpoint.endpoint.value())].emplace_back(
            now, granted->use_within_ms);
        ends_.emplace(now + kWork, granted->id);
      } else if (const auto* refused = std::get_if<permit_refused>(&reply)) {
        retries.push_back(refused->retry_after_ms);
      }
    }
  }

  slot_scheduler scheduler{service_name("manifest")};
  // For each endpoint, when permits were issued and their bounds in ms.
  std::map<int, std::vector<std::pair<instant, std::uint32_t>>> permits;
  // The retry times of refused requests, in ms.
  std::vector<std::uint32_t> retries;

 private:
  std::uint64_t last_number_ = 0;
  std::set<std::pair<instant, permit_id>> ends_;
};

// Guards against the overload of endpoints that come back together, and against
// callers that wait for them while warm ones have free slots.
TEST_CASE("a failure domain that comes back cold gets what it can sustain") {
  std::vector<fleet_endpoint> endpoints = MakeEndpoints(9);
  for (const std::size_t cold : {0U, 3U, 6U}) {
    // The domain of the callers, which would be preferred otherwise.
    endpoints[cold].cold_until = kStart + seconds(10);
  }
  load_run run(endpoints, true, kStart - seconds(5));
  // 71 requests of 300 ms in a second occupy 22 of the 24 slots that are warm.
  instant now = kStart;
  for (; now < kStart + seconds(2); now += milliseconds(14)) {
    run.Request(std::nullopt, now);
  }
  CHECK(!run.permits.contains(0));
  // 100 in a second would occupy 30. The cold endpoints can sustain 5 more than
  // the warm ones, with 12 slots.
  for (; now < kStart + seconds(9); now += milliseconds(10)) {
    run.Request(std::nullopt, now);
  }
  CHECK(run.retries.empty());
  CHECK(run.permits[1].front().second == 0);
  for (const int cold : {0, 3, 6}) {
    const auto& permits = run.permits[cold];
    CHECK(permits.size() > 30);
    CHECK(permits.front().second == cold_start_limit::kUseWithin.count());
    for (std::size_t i = 7; i < permits.size(); ++i) {
      REQUIRE(permits[i].first - permits[i - 7].first >= seconds(1));
    }
  }
}

// Guards against keyed requests that overrun a cold owner, that wait longer
// than necessary, or that are told to return too early.
TEST_CASE("keyed requests wait for a cold owner or are refused exactly") {
  std::vector<fleet_endpoint> endpoints = MakeEndpoints(2);
  endpoints[0].cold_until = kStart + seconds(60);
  // This daemon has become first, but too recently at the start.
  load_run run(endpoints, true, kStart - cold_start_limit::kWindow);
  const milliseconds first =
      cold_start_limit::kFirstWait - cold_start_limit::kWindow;
  for (int i = 0; i < 20; ++i) {
    run.Request(0, kStart);
  }
  CHECK(run.permits.empty());
  const instant again = kStart + first + 2 * cold_start_limit::kWindow;
  for (instant now = kStart; run.permits[0].size() < 14;) {
    REQUIRE(run.scheduler.NextWakeup());
    REQUIRE(*run.scheduler.NextWakeup() > now);
    REQUIRE(now < again);
    now += milliseconds(1);
    run.Advance(now);
  }
  run.Advance(again);
  // The next window begins after the deadline of the rest.
  CHECK(run.permits[0].size() == 14);
  CHECK(run.retries == std::vector<std::uint32_t>(6, 2'700));
  run.Request(0, again);
  CHECK(run.permits[0].size() == 15);
  CHECK(!run.scheduler.TakeColdStartHolds().empty());
  // Keys follow the rate that the endpoint can sustain.
  CHECK(run.scheduler.Capacities().at(endpoint_id("0")) ==
        Approx(1.53).margin(0.2));
  CHECK(run.scheduler.Capacities().at(endpoint_id("1")) > 3);
}

// Guards against requests to cold endpoints from a daemon that isn't first, and
// against a retry time that exceeds the wait of the next dispatcher.
TEST_CASE("a daemon that isn't first uses warm endpoints only") {
  std::vector<fleet_endpoint> endpoints = MakeEndpoints(2);
  endpoints[0].cold_until = kStart + seconds(60);
  load_run run(endpoints, true, std::nullopt);
  for (int i = 0; i < 6; ++i) {
    run.Request(std::nullopt, kStart);
  }
  CHECK(run.permits[1].size() == 4);
  run.Request(0, kStart);
  CHECK(!run.permits.contains(0));
  CHECK(run.retries == std::vector<std::uint32_t>{1'400});
}

// Guards against an effect where neither settings nor configuration ask for a
// limit.
TEST_CASE("without a limit, cold endpoints are like any others") {
  std::vector<fleet_endpoint> endpoints = MakeEndpoints(6);
  load_run expected(endpoints, false, kStart - seconds(5));
  endpoints[0].cold_until = endpoints[4].cold_until = kStart + seconds(60);
  load_run actual(endpoints, false, std::nullopt);
  std::mt19937_64 random(GENERATE(1U, 2U, 3U));
  for (instant now = kStart; now < kStart + seconds(10);
       now += milliseconds(10)) {
    const auto key = static_cast<shard_key>(random() % 9);
    const auto drawn = key < 6 ? std::optional(key) : std::nullopt;
    expected.Request(drawn, now);
    actual.Request(drawn, now);
    REQUIRE(expected.scheduler.NextWakeup() == actual.scheduler.NextWakeup());
  }
  CHECK(expected.permits == actual.permits);
  CHECK(expected.retries == actual.retries);
  CHECK(expected.scheduler.Capacities() == actual.scheduler.Capacities());
  CHECK(actual.permits[0].front().second == 0);
  CHECK(actual.scheduler.TakeColdStartHolds().empty());
}

// Guards against requests that go to a machine that is slow at the moment, and
// against key moves because of it.
TEST_CASE("a reported slowdown counts for a moment and moves no keys") {
  load_run run(MakeEndpoints(2), false, std::nullopt);
  const auto capacities = run.scheduler.Capacities();
  run.Request(std::nullopt, kStart);
  REQUIRE(run.permits[0].size() == 1);
  permit_release release;
  release.id = {1, 1};
  release.load = endpoint_load{0, 0, 4, 300};
  run.scheduler.ReleasePermit(release, kStart);
  run.Request(std::nullopt, kStart);
  CHECK(run.permits[1].size() == 1);
  CHECK(run.scheduler.Capacities() == capacities);
  run.Request(std::nullopt, kStart + milliseconds(299));
  CHECK(run.permits[1].size() == 2);
  run.Request(std::nullopt, kStart + milliseconds(300));
  CHECK(run.permits[0].size() == 2);
}

}  // namespace
}  // namespace bluebell
