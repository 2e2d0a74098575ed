#include "bluebell/permits/slot_scheduler.h"

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));

fleet_endpoint MakeEndpoint(int number, std::uint32_t slots = 2) {
  fleet_endpoint entry;
  entry.instance = {endpoint_id("i-" + std::to_string(number)), incarnation(1)};
  entry.service = service_name("manifest");
  entry.domain = domain_name("a");
  entry.where =
      address::Parse("10.0.0.1:" + std::to_string(8'000 + number)).value();
  entry.slots = slots;
  return entry;
}

permit_request MakeRequest(std::uint64_t number,
                           std::uint32_t rank,
                           std::optional<shard_key> key = std::nullopt) {
  permit_request message;
  message.id = {1, number};
  message.service = service_name("manifest");
  message.route = "rank-" + std::to_string(rank);
  message.domain = domain_name("a");
  message.rank = rank;
  message.key = key;
  message.objective_left_ms = 600;
  message.time_left_ms = 2'000;
  return message;
}

permit_release MakeRelease(const permit_granted& granted,
                           permit_outcome outcome,
                           std::uint32_t took_ms) {
  permit_release release;
  release.id = granted.id;
  release.service = granted.service;
  release.endpoint = granted.endpoint.endpoint;
  release.outcome = outcome;
  release.took_ms = took_ms;
  return release;
}

template <typename Reply>
std::vector<Reply> RepliesOfType(const std::vector<permit_reply>& replies) {
  std::vector<Reply> found;
  for (const permit_reply& each : replies) {
    if (const auto* reply = std::get_if<Reply>(&each)) {
      found.push_back(*reply);
    }
  }
  return found;
}

std::vector<fleet_endpoint> MakeEndpoints(int count, std::uint32_t slots = 2) {
  std::vector<fleet_endpoint> entries;
  entries.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    entries.push_back(MakeEndpoint(i, slots));
  }
  return entries;
}

TEST_CASE("no endpoint gets more requests than it has slots") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(3), nullptr, kStart);
  for (std::uint64_t i = 0; i < 10; ++i) {
    scheduler.RequestPermit(MakeRequest(i, 0), kStart);
  }
  const auto granted =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  CHECK(granted.size() == 6);
  std::map<endpoint_id, int> count;
  for (const permit_granted& each : granted) {
    CHECK(++count[each.endpoint.endpoint] <= 2);
  }
}

// Guards against a request that waits until its deadline although each endpoint
// has asked its daemon for a pause.
TEST_CASE("a request that excludes every endpoint is refused at once") {
  slot_scheduler scheduler(service_name("manifest"));
  std::vector<fleet_endpoint> endpoints = MakeEndpoints(3);
  endpoints[2].draining = true;
  scheduler.SetEndpoints(endpoints, nullptr, kStart);
  permit_request request = MakeRequest(1, 0);
  request.excluded_endpoints = {endpoints[0].instance.endpoint};
  scheduler.RequestPermit(request, kStart);
  const auto granted =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  REQUIRE(granted.size() == 1);
  CHECK(granted.front().endpoint == endpoints[1].instance);
  request.id.number = 2;
  request.excluded_endpoints.push_back(endpoints[1].instance.endpoint);
  scheduler.RequestPermit(request, kStart);
  const auto refused =
      RepliesOfType<permit_refused>(scheduler.TakeReplies(kStart));
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().reason == permit_refusal::kNoEndpoint);
}

// Guards against requests that still go to a failure domain that the operators
// evacuate, also those that waited for its endpoints before.
TEST_CASE("requests go elsewhere while their domain is evacuated") {
  slot_scheduler scheduler(service_name("manifest"));
  std::vector<fleet_endpoint> endpoints = MakeEndpoints(2, 1);
  endpoints[1].domain = domain_name("b");
  scheduler.SetEndpoints(endpoints, nullptr, kStart);
  for (std::uint64_t i = 1; i <= 3; ++i) {
    scheduler.RequestPermit(MakeRequest(i, 0), kStart);
  }
  const auto running =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  REQUIRE(running.size() == 2);
  endpoints[0].evacuated = true;
  scheduler.SetEndpoints(endpoints, nullptr, kStart);
  const instant later = kStart + milliseconds(50);
  for (const permit_granted& each : running) {
    scheduler.ReleasePermit(MakeRelease(each, permit_outcome::kAnswered, 50),
                            later);
  }
  const auto next = RepliesOfType<permit_granted>(scheduler.TakeReplies(later));
  REQUIRE(next.size() == 1);
  CHECK(next.front().endpoint == endpoints[1].instance);
}

TEST_CASE("the next free slot goes to the most urgent request") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1, 1), nullptr, kStart);
  scheduler.RequestPermit(MakeRequest(1, 2), kStart);
  const auto first =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  REQUIRE(first.size() == 1);
  scheduler.RequestPermit(MakeRequest(2, 2), kStart);
  scheduler.RequestPermit(MakeRequest(3, 0), kStart);
  scheduler.TakeReplies(kStart);
  const instant later = kStart + milliseconds(50);
  scheduler.ReleasePermit(
      MakeRelease(first.front(), permit_outcome::kAnswered, 50), later);
  const auto second =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(later));
  REQUIRE(second.size() == 1);
  CHECK(second.front().id.number == 3);
}

TEST_CASE(
    "a request that can't meet its deadline is refused with a retry time") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1, 1), nullptr, kStart);
  std::vector<permit_reply> replies;
  for (std::uint64_t i = 0; i < 40; ++i) {
    scheduler.RequestPermit(MakeRequest(i, 0), kStart);
  }
  const auto refused =
      RepliesOfType<permit_refused>(scheduler.TakeReplies(kStart));
  CHECK(refused.size() > 20);
  for (const permit_refused& each : refused) {
    CHECK(each.reason == permit_refusal::kOverloaded);
    CHECK(each.retry_after_ms > 0);
  }
}

TEST_CASE(
    "a waiting request is refused when it can no longer meet its deadline") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1, 1), nullptr, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0), kStart);
  scheduler.TakeReplies(kStart);
  const auto wakeup = scheduler.NextWakeup();
  REQUIRE(wakeup);
  CHECK(*wakeup <= kStart + milliseconds(2'000));
  const auto refused =
      RepliesOfType<permit_refused>(scheduler.TakeReplies(*wakeup));
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().id.number == 2);
}

TEST_CASE(
    "a repeated permit request repeats the reply and takes no second slot") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1, 1), nullptr, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0), kStart);
  scheduler.TakeReplies(kStart);
  scheduler.RequestPermit(MakeRequest(1, 0), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0), kStart);
  const auto replies = scheduler.TakeReplies(kStart);
  CHECK(RepliesOfType<permit_granted>(replies).size() == 1);
  CHECK(RepliesOfType<permit_queued>(replies).size() == 1);
  CHECK(scheduler.running_count() == 1);
  CHECK(scheduler.waiting_count() == 1);
}

// An endpoint's load report counts the request whose response carries it. If
// that request counted as load from other senders, half of all slots would stay
// empty.
TEST_CASE("a load report doesn't count the request that carries it") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1), nullptr, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0), kStart);
  scheduler.RequestPermit(MakeRequest(3, 0), kStart);
  const auto granted =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  REQUIRE(granted.size() == 2);
  permit_release release =
      MakeRelease(granted[0], permit_outcome::kAnswered, 10);
  release.load = endpoint_load{2, 0, 2};
  scheduler.ReleasePermit(release, kStart);
  CHECK(RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart)).size() ==
        1);
}

TEST_CASE("requests of other senders that wait at an endpoint take its slots") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1), nullptr, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0), kStart);
  const auto granted =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  permit_release release =
      MakeRelease(granted[0], permit_outcome::kAnswered, 10);
  release.load = endpoint_load{2, 3, 2};
  scheduler.ReleasePermit(release, kStart);
  scheduler.RequestPermit(MakeRequest(3, 0), kStart);
  CHECK(RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart)).empty());
  const auto wakeup = scheduler.NextWakeup();
  REQUIRE(wakeup);
  CHECK(RepliesOfType<permit_granted>(scheduler.TakeReplies(*wakeup)).size() ==
        1);
}

TEST_CASE("a report frees the permits whose release was lost") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1, 1), nullptr, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0), kStart);
  scheduler.TakeReplies(kStart);
  permit_report report;
  report.holder = 1;
  report.service = service_name("manifest");
  const instant later = kStart + milliseconds(500);
  scheduler.Report(report, later);
  CHECK(RepliesOfType<permit_granted>(scheduler.TakeReplies(later)).size() ==
        1);
}

TEST_CASE("a new dispatcher counts the permits that the former one issued") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1, 1), nullptr, kStart);
  permit_report report;
  report.holder = 7;
  report.service = service_name("manifest");
  report.open = {{{7, 3}, endpoint_id("i-0"), "rank-0", 0}};
  scheduler.Report(report, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0), kStart);
  CHECK(RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart)).empty());
  report.open.clear();
  scheduler.Report(report, kStart + milliseconds(500));
  CHECK(RepliesOfType<permit_granted>(
            scheduler.TakeReplies(kStart + milliseconds(500)))
            .size() == 1);
}

TEST_CASE("a keyed request goes only to the owner of its key") {
  slot_scheduler scheduler(service_name("manifest"));
  const auto entries = MakeEndpoints(2, 1);
  const key_table table = key_table()
                              .With({0, 99}, entries[0].instance)
                              .With({100, 199}, entries[1].instance);
  scheduler.SetEndpoints(entries, &table, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0, 50), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0, 60), kStart);
  scheduler.RequestPermit(MakeRequest(3, 0, 150), kStart);
  scheduler.RequestPermit(MakeRequest(4, 0, 5'000), kStart);
  const auto replies = scheduler.TakeReplies(kStart);
  const auto granted = RepliesOfType<permit_granted>(replies);
  REQUIRE(granted.size() == 2);
  for (const permit_granted& each : granted) {
    CHECK(each.endpoint == entries[each.id.number == 3 ? 1 : 0].instance);
    CHECK(each.fence == table.Find(each.id.number == 3 ? 150 : 50)->fence);
    CHECK(each.table_fence == table.highest_fence());
  }
  const auto refused = RepliesOfType<permit_refused>(replies);
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().reason == permit_refusal::kOwnerUnavailable);
}

TEST_CASE("waiting requests move to the new owner of their key") {
  slot_scheduler scheduler(service_name("manifest"));
  const auto entries = MakeEndpoints(2, 1);
  key_table table = key_table().With({0, 99}, entries[0].instance);
  scheduler.SetEndpoints(entries, &table, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0, 50), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0, 60), kStart);
  scheduler.TakeReplies(kStart);
  table = table.With({60, 60}, entries[1].instance);
  scheduler.SetEndpoints(entries, &table, kStart);
  const auto granted =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  REQUIRE(granted.size() == 1);
  CHECK(granted.front().endpoint == entries[1].instance);
  CHECK(granted.front().fence == table.highest_fence());
}

TEST_CASE("an owner that doesn't serve its keys yet is retried shortly") {
  slot_scheduler scheduler(service_name("manifest"));
  const auto entries = MakeEndpoints(1);
  const key_table table = key_table().With({0, 99}, entries[0].instance);
  scheduler.SetEndpoints(entries, &table, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0, 50), kStart);
  const auto first =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  REQUIRE(first.size() == 1);
  scheduler.ReleasePermit(
      MakeRelease(first.front(), permit_outcome::kMisdirected, 2), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0, 50), kStart);
  CHECK(RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart)).empty());
  const auto wakeup = scheduler.NextWakeup();
  REQUIRE(wakeup);
  CHECK(*wakeup < kStart + milliseconds(100));
  CHECK(RepliesOfType<permit_granted>(scheduler.TakeReplies(*wakeup)).size() ==
        1);
}

TEST_CASE(
    "requests wait if their key is served again soon and are refused if not") {
  slot_scheduler scheduler(service_name("manifest"));
  const auto entries = MakeEndpoints(1);
  const key_table table = key_table().With({0, 99}, entries[0].instance);
  scheduler.SetEndpoints(entries, &table, kStart);
  scheduler.SetUnservedRanges({{{0, 49}, kStart + milliseconds(200)},
                               {{50, 99}, kStart + milliseconds(1'700)}},
                              kStart);
  scheduler.RequestPermit(MakeRequest(1, 0, 10), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0, 60), kStart);
  const auto replies = scheduler.TakeReplies(kStart);
  CHECK(RepliesOfType<permit_granted>(replies).empty());
  const auto refused = RepliesOfType<permit_refused>(replies);
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().id.number == 2);
  CHECK(refused.front().retry_after_ms == 1'700);
  scheduler.SetUnservedRanges({}, kStart + milliseconds(180));
  CHECK(RepliesOfType<permit_granted>(
            scheduler.TakeReplies(kStart + milliseconds(180)))
            .size() == 1);
}

TEST_CASE("a permit tells whether the endpoint is missing from the store") {
  slot_scheduler scheduler(service_name("manifest"));
  auto entries = MakeEndpoints(1);
  entries[0].lapsing = true;
  scheduler.SetEndpoints(entries, nullptr, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0), kStart);
  const auto granted =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  REQUIRE(granted.size() == 1);
  CHECK(granted.front().lapsing);
}

TEST_CASE(
    "an unresponsive endpoint gets no requests and its queue is refused") {
  slot_scheduler scheduler(service_name("manifest"));
  const auto entries = MakeEndpoints(1);
  const key_table table = key_table().With({0, 99}, entries[0].instance);
  scheduler.SetEndpoints(entries, &table, kStart);
  for (std::uint64_t i = 0; i < 3; ++i) {
    permit_request message = MakeRequest(i, 0, 50);
    message.id.holder = i;
    scheduler.RequestPermit(message, kStart);
  }
  const auto granted =
      RepliesOfType<permit_granted>(scheduler.TakeReplies(kStart));
  REQUIRE(granted.size() == 2);
  for (const permit_granted& each : granted) {
    scheduler.ReleasePermit(MakeRelease(each, permit_outcome::kUnreachable, 0),
                            kStart);
  }
  const auto refused =
      RepliesOfType<permit_refused>(scheduler.TakeReplies(kStart));
  REQUIRE(refused.size() == 1);
  CHECK(refused.front().reason == permit_refusal::kOwnerUnavailable);
}

// Simulates a service under load with random work. Returns by rank the share of
// requests that were answered within their objective.
struct request_kind {
  std::uint32_t rank = 0;
  double per_second = 0;
  double mean_ms = 0;
  std::int64_t objective_ms = 0;
  std::int64_t limit_ms = 0;
};

std::map<std::uint32_t, double> SimulateLoad(
    const std::vector<request_kind>& kinds,
    const std::vector<double>& slowness,
    seconds length,
    std::uint32_t seed) {
  struct event {
    instant at;
    permit_granted granted;
    bool operator<(const event& other) const { return other.at < at; }
  };
  struct open_request {
    request_kind kind;
    instant arrived;
  };
  std::mt19937 random(seed);
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(static_cast<int>(slowness.size())),
                         nullptr, kStart);
  std::priority_queue<event> completions;
  std::map<std::uint64_t, open_request> requests;
  std::map<std::uint32_t, double> requested;
  std::map<std::uint32_t, double> on_time;
  std::uint64_t next = 0;
  for (instant now = kStart; now < kStart + length; now += milliseconds(1)) {
    for (const request_kind& kind : kinds) {
      if (std::bernoulli_distribution(kind.per_second / 1'000)(random)) {
        permit_request message = MakeRequest(++next, kind.rank);
        message.objective_left_ms = kind.objective_ms;
        message.time_left_ms = kind.limit_ms;
        requests[next] = {kind, now};
        ++requested[kind.rank];
        scheduler.RequestPermit(message, now);
      }
    }
    while (!completions.empty() && completions.top().at <= now) {
      const permit_granted granted = completions.top().granted;
      completions.pop();
      const open_request& request = requests.at(granted.id.number);
      const bool in_time =
          now - request.arrived <= milliseconds(request.kind.objective_ms);
      on_time[request.kind.rank] += in_time ? 1 : 0;
      scheduler.ReleasePermit(
          MakeRelease(granted, permit_outcome::kAnswered, 100), now);
    }
    for (const permit_granted& each :
         RepliesOfType<permit_granted>(scheduler.TakeReplies(now))) {
      const open_request& request = requests.at(each.id.number);
      const auto endpoint_index = static_cast<std::size_t>(
          std::stoi(each.endpoint.endpoint.value().substr(2)));
      const double mean = request.kind.mean_ms * slowness[endpoint_index];
      std::lognormal_distribution<double> work(std::log(mean) - 0.25, 0.7);
      completions.push(
          {now + microseconds(static_cast<std::int64_t>(1'000 * work(random))),
           each});
    }
  }
  std::map<std::uint32_t, double> shares;
  for (const auto& [rank, count] : requested) {
    shares[rank] = on_time[rank] / count;
  }
  return shares;
}

// 2.5 times the usual deferrable work arrives at a service that also gets
// urgent requests. Running requests can't be interrupted, so without reserved
// slots the urgent ones would be late.
TEST_CASE("a flood of deferrable work leaves urgent requests on time") {
  const request_kind urgent{0, 17, 150, 500, 1'500};
  const request_kind deferrable{2, 30, 880, 5'000, 8'000};
  const auto shares = SimulateLoad(
      {urgent, deferrable}, std::vector<double>(13, 1.0), seconds(60), 7);
  CHECK(shares.at(0) > 0.95);
  CHECK(shares.at(2) > 0.5);
}

// Requests of one kind arrive at 1.5 times the rate that the service can
// handle. In order of arrival, all of them would be late.
TEST_CASE("an overloaded service still answers many requests on time") {
  const request_kind kind{1, 120, 200, 600, 2'000};
  const auto shares =
      SimulateLoad({kind}, std::vector<double>(8, 1.0), seconds(40), 7);
  // 16 slots complete 80 of the 120 requests in a second.
  CHECK(shares.at(1) > 0.4);
}

// The endpoints of one service differ in response time by a factor of more than
// two.
TEST_CASE("fast endpoints are preferred while they are free") {
  const request_kind kind{1, 20, 150, 400, 1'500};
  const auto shares =
      SimulateLoad({kind}, {0.7, 0.7, 1.6, 0.7, 0.7, 1.6}, seconds(40), 7);
  CHECK(shares.at(1) > 0.85);
}

// Guards against requests of a daemon that shuts down and that wait until its
// exit, although the queue before them is longer than that.
TEST_CASE(
    "waiting requests with less time than their queue needs are refused") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1, 1), nullptr, kStart);
  constexpr std::uint64_t kRequests = 8;
  permit_request request = MakeRequest(1, 0);
  request.time_left_ms = 10'000;
  for (; request.id.number <= kRequests; ++request.id.number) {
    scheduler.RequestPermit(request, kStart);
  }
  scheduler.TakeReplies(kStart);
  const instant shutdown = kStart + milliseconds(100);
  request.time_left_ms = 700;
  for (request.id.number = 1; request.id.number <= kRequests;
       ++request.id.number) {
    scheduler.RequestPermit(request, shutdown);
  }
  const auto replies = scheduler.TakeReplies(shutdown);
  const auto refused = RepliesOfType<permit_refused>(replies);
  // The work is 0.2 s a request, so that one runs and three can follow it.
  REQUIRE(refused.size() == 4);
  CHECK(refused.front().id.number == 5);
  CHECK(scheduler.waiting_count() == 3);
  // Those that wait further are refused when their time is nearly over.
  const instant end = shutdown + milliseconds(700);
  CHECK(RepliesOfType<permit_refused>(scheduler.TakeReplies(end)).size() == 3);
  CHECK(scheduler.waiting_count() == 0);
}

TEST_CASE("a repetition with a little less time changes no deadline") {
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetEndpoints(MakeEndpoints(1, 1), nullptr, kStart);
  scheduler.RequestPermit(MakeRequest(1, 0), kStart);
  scheduler.RequestPermit(MakeRequest(2, 0), kStart);
  scheduler.TakeReplies(kStart);
  permit_request repetition = MakeRequest(2, 0);
  repetition.time_left_ms -= 50;
  scheduler.RequestPermit(repetition, kStart);
  CHECK(RepliesOfType<permit_queued>(scheduler.TakeReplies(kStart)).size() ==
        1);
  const instant before_end = kStart + milliseconds(1'850);
  CHECK(scheduler.TakeReplies(before_end).empty());
}

}  // namespace
}  // namespace bluebell
