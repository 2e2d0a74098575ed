#include "bluebell/permits/cross_domain_forecast.h"

#include <cmath>
#include <cstdlib>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/permits/domain_policy.h"
#include "bluebell/permits/slot_scheduler.h"

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
constexpr std::uint64_t kUploadBytes = 60'000;
constexpr double kMeanWorkMs = 200;

const domain_policy kFixed = fixed_domain_cost();
const domain_policy kForecast = forecast_domain_cost{1'000};

// One failure domain with endpoints of two slots.
struct test_domain {
  int endpoints = 0;
  // Requests per second at a time since the start.
  std::function<double(seconds)> rate;
};

struct test_load {
  std::map<std::string, test_domain> domains;
  domain_policy policy = kForecast;
  std::uint32_t rank = 1;
  std::uint32_t seed = 7;
  seconds length{20};
  // The first requests, while the links aren't known yet, aren't counted.
  seconds counted_from{6};
  // The additional time and the losses of the link from "a" to "b".
  milliseconds link_time{0};
  double link_loss = 0;
  permit_outcome lost_outcome = permit_outcome::kNoResponse;
};

struct test_result {
  // By the domain of the requester.
  std::map<std::string, double> mean_wait_ms;
  // Requests by the domains of requester and endpoint.
  std::map<std::pair<std::string, std::string>, int> sent;
  int crossed = 0;
  // How often a domain was opened or closed for another.
  int choice_changes = 0;
  // Each permit with its endpoint, in order.
  std::vector<std::pair<std::uint64_t, std::string>> decisions;
};

std::function<double(seconds)> Constantly(double rate) {
  return [rate](seconds) { return rate; };
}

std::vector<fleet_endpoint> EndpointsOf(const test_load& load) {
  std::vector<fleet_endpoint> entries;
  for (const auto& [name, domain] : load.domains) {
    for (int i = 0; i < domain.endpoints; ++i) {
      fleet_endpoint entry;
      entry.instance = {endpoint_id(name + "-" + std::to_string(i)),
                        incarnation(1)};
      entry.service = service_name("manifest");
      entry.domain = domain_name(name);
      entry.where = address::Parse("10.0.0.1:8000").value();
      entry.slots = 2;
      entries.push_back(entry);
    }
  }
  return entries;
}

permit_request MakeUpload(std::uint64_t number,
                          const std::string& domain,
                          std::uint32_t rank) {
  permit_request message;
  message.id = {1, number};
  message.service = service_name("manifest");
  message.route = "upload";
  message.domain = domain_name(domain);
  message.rank = rank;
  message.objective_left_ms = 2'000;
  message.time_left_ms = 4'000;
  message.body_bytes = kUploadBytes;
  return message;
}

test_result Run(const test_load& load) {
  struct event {
    instant at;
    permit_release release;
    bool operator<(const event& other) const { return other.at < at; }
  };
  test_result result;
  std::mt19937 random(load.seed);
  slot_scheduler scheduler(service_name("manifest"));
  scheduler.SetDomainPolicy(load.policy);
  scheduler.SetEndpoints(EndpointsOf(load), nullptr, kStart);
  std::priority_queue<event> releases;
  std::map<std::uint64_t, std::pair<std::string, instant>> requests;
  std::map<std::string, int> counted;
  std::map<domain_pair, bool> open;
  std::uint64_t next = 0;
  for (instant now = kStart; now < kStart + load.length;
       now += milliseconds(1)) {
    const auto elapsed = std::chrono::duration_cast<seconds>(now - kStart);
    for (const auto& [name, domain] : load.domains) {
      const double rate = domain.rate(elapsed) / 1'000;
      if (std::bernoulli_distribution(rate)(random)) {
        requests[++next] = {name, now};
        scheduler.RequestPermit(MakeUpload(next, name, load.rank), now);
      }
    }
    while (!releases.empty() && releases.top().at <= now) {
      scheduler.ReleasePermit(releases.top().release, now);
      releases.pop();
    }
    for (const permit_reply& reply : scheduler.TakeReplies(now)) {
      const auto* granted = std::get_if<permit_granted>(&reply);
      if (granted == nullptr) {
        continue;
      }
      const auto& [from, requested_at] = requests.at(granted->id.number);
      const std::string to = granted->endpoint.endpoint.value().substr(0, 1);
      const bool uses_link = from == "a" && to == "b";
      const bool lost =
          uses_link && std::bernoulli_distribution(load.link_loss)(random);
      std::gamma_distribution<double> work(4, kMeanWorkMs / 4);
      permit_release release;
      release.id = granted->id;
      release.service = granted->service;
      release.endpoint = granted->endpoint.endpoint;
      release.took_ms = static_cast<std::uint32_t>(std::lround(work(random)));
      release.took_ms +=
          uses_link ? static_cast<std::uint32_t>(load.link_time.count()) : 0;
      release.outcome = lost ? load.lost_outcome : permit_outcome::kAnswered;
      if (release.outcome == permit_outcome::kAbandoned) {
        release.took_ms = 4'000;
      }
      releases.push({now + milliseconds(release.took_ms), release});
      result.decisions.emplace_back(granted->id.number,
                                    granted->endpoint.endpoint.value());
      if (elapsed < load.counted_from) {
        continue;
      }
      ++counted[from];
      result.mean_wait_ms[from] +=
          std::chrono::duration<double, std::milli>(now - requested_at).count();
      ++result.sent[{from, to}];
      result.crossed += from == to ? 0 : 1;
    }
    for (const domain_share_change& each : scheduler.TakeShareChanges()) {
      result.choice_changes += open[each.domains] == each.is_open ? 0 : 1;
      open[each.domains] = each.is_open;
    }
  }
  for (auto& [name, wait] : result.mean_wait_ms) {
    wait /= counted[name];
  }
  return result;
}

// A domain of 4 endpoints serves 40 requests per second; "a" gets 60.
test_load ShortOfEndpoints() {
  test_load load;
  load.domains["a"] = {4, Constantly(60)};
  load.domains["b"] = {12, Constantly(30)};
  return load;
}

// Guards against callers that queue for a domain with too few endpoints while
// another domain is idle.
TEST_CASE("a domain short of endpoints uses the idle ones of another") {
  test_load load = ShortOfEndpoints();
  const test_result with = Run(load);
  load.policy = forecast_domain_cost{1'000'000};
  const test_result without = Run(load);
  INFO("waits " << with.mean_wait_ms.at("a") << " and "
                << without.mean_wait_ms.at("a"));
  CHECK(with.mean_wait_ms.at("a") < 120);
  CHECK(without.mean_wait_ms.at("a") > 5 * with.mean_wait_ms.at("a"));
  CHECK(with.mean_wait_ms.at("b") < 5);
  // The line of those that stay is long, and their own slots don't idle: they
  // serve 40 per second in 14 s.
  CHECK(without.sent.at({"a", "a"}) > 500);
  CHECK(without.mean_wait_ms.at("b") < 1);
}

// Guards against uploads that cross domains although their own domain would
// answer as soon.
TEST_CASE("little crosses between equally loaded domains") {
  test_load load;
  for (const char* name : {"a", "b", "c"}) {
    load.domains[name] = {8, Constantly(64)};
  }
  const test_result forecast = Run(load);
  load.policy = kFixed;
  const test_result fixed = Run(load);
  INFO("crossed " << forecast.crossed << " and " << fixed.crossed << " of "
                  << forecast.decisions.size() << ", wait "
                  << forecast.mean_wait_ms.at("a") << " and "
                  << fixed.mean_wait_ms.at("a"));
  CHECK(forecast.crossed * 2 < fixed.crossed);
  CHECK(forecast.mean_wait_ms.at("a") < 60);
}

// Guards against requests that are sent over a link that loses them or takes
// longer than the wait that they avoid.
TEST_CASE("a lossy or slow link is used less") {
  test_load load = ShortOfEndpoints();
  load.domains["c"] = {12, Constantly(30)};
  const int usual = Run(load).sent[{"a", "b"}];
  load.link_loss = 0.1;
  const int lossy = Run(load).sent[{"a", "b"}];
  load.link_loss = 0;
  load.link_time = milliseconds(150);
  const int slow = Run(load).sent[{"a", "b"}];
  INFO("sent " << usual << ", lossy " << lossy << ", slow " << slow);
  CHECK(lossy * 2 < usual);
  CHECK(slow * 2 < usual);
}

// Guards against callers that are sent over a cut link instead of waiting for
// their own domain, also if nothing ends their requests but the deadline.
TEST_CASE("callers of a domain that is cut off stay in it") {
  test_load load = ShortOfEndpoints();
  load.link_loss = 1;
  const test_result cut = Run(load);
  INFO("sent " << cut.sent.at({"a", "b"}));
  CHECK(cut.sent.at({"a", "b"}) < 10);
  CHECK(cut.sent.at({"a", "a"}) > 400);
  load.lost_outcome = permit_outcome::kAbandoned;
  const test_result silent = Run(load);
  INFO("sent " << silent.sent.at({"a", "b"}));
  CHECK(silent.sent.at({"a", "b"}) < 10);
}

// Guards against a burst that goes to one domain alone and makes its callers
// wait, while another one has more free slots.
TEST_CASE("the overflow of a burst is divided by what is free") {
  test_load load;
  // The links are known from the first burst.
  load.domains["a"] = {
      8, [](seconds at) { return at.count() % 6 >= 3 ? 180 : 60; }};
  load.domains["b"] = {8, Constantly(40)};
  load.domains["c"] = {16, Constantly(40)};
  load.length = seconds(24);
  const test_result burst = Run(load);
  const int to_b = burst.sent.at({"a", "b"});
  const int to_c = burst.sent.at({"a", "c"});
  INFO("to b " << to_b << ", to c " << to_c << ", waits "
               << burst.mean_wait_ms.at("b") << " and "
               << burst.mean_wait_ms.at("c"));
  // 8 slots are free in "b" and 24 in "c".
  CHECK(to_c > 2 * to_b);
  CHECK(to_c < 5 * to_b);
  CHECK(burst.mean_wait_ms.at("b") < 30);
  CHECK(burst.mean_wait_ms.at("c") < 30);
}

// Guards against a choice that changes with each request when the load is close
// to where crossing pays off.
TEST_CASE("a load close to the threshold changes the choice a few times") {
  test_load load;
  load.domains["a"] = {8, Constantly(66)};
  load.domains["b"] = {12, Constantly(30)};
  load.length = seconds(30);
  load.counted_from = seconds(0);
  const test_result close = Run(load);
  INFO("changes " << close.choice_changes << ", crossed " << close.crossed);
  CHECK(close.choice_changes > 0);
  CHECK(close.choice_changes <= 30);
}

// Guards against an urgent request that waits for its own domain because of the
// price.
TEST_CASE("urgent requests aren't delayed for the price") {
  test_load load = ShortOfEndpoints();
  load.policy = forecast_domain_cost{1'000'000};
  load.rank = 0;
  const test_result urgent = Run(load);
  INFO("wait " << urgent.mean_wait_ms.at("a"));
  CHECK(urgent.mean_wait_ms.at("a") < 60);
}

// Guards against a forecast that takes part in decisions of a fleet without
// uploads, or for the keys of a service.
TEST_CASE("without uploads the decisions are those of the fixed factor") {
  CHECK(DomainPolicyFor(false, false, 1'000) == kFixed);
  CHECK(DomainPolicyFor(true, true, 1'000) == kFixed);
  CHECK(DomainPolicyFor(true, false, 1'000) == kForecast);
  test_load load = ShortOfEndpoints();
  load.policy = kFixed;
  const auto initial = Run(load).decisions;
  load.policy = DomainPolicyFor(false, false, 5);
  CHECK(Run(load).decisions == initial);
  // The fixed factor sends every request to a free slot at once.
  load.policy = kForecast;
  CHECK(Run(load).decisions != initial);
}

waiting_request MakeWaiting(milliseconds objective, milliseconds deadline) {
  waiting_request request;
  request.message = MakeUpload(1, "a", 1);
  request.work = milliseconds(200);
  request.objective = kStart + objective;
  request.deadline = kStart + deadline;
  return request;
}

// A forecast that knows the links from "a" to "b" and "c". A request from "a"
// waits for 0.6 s behind one second of work.
cross_domain_forecast MakeForecast(std::uint32_t price_ms_per_mb) {
  cross_domain_forecast forecast;
  forecast.SetPrice(price_ms_per_mb);
  for (const char* to : {"a", "b", "c"}) {
    for (int i = 0; i < 20; ++i) {
      forecast.OnAnswered({domain_name("a"), domain_name(to)},
                          milliseconds(200), milliseconds(200), kStart);
    }
  }
  forecast.SetSupply({{domain_name("a"), {2, 10, {}}}}, kStart);
  return forecast;
}

const own_domain_option kBehindOneSecond = {1, std::nullopt,
                                            milliseconds(1'000)};

// Guards against requests that miss their target or their deadline because of
// the price, while another domain would answer in time.
TEST_CASE("a request that would be late crosses more readily") {
  // The wait is worth half of the price of 1.24 s.
  cross_domain_forecast forecast = MakeForecast(20'000);
  const std::vector<domain_offer> offers = {{domain_name("b"), 1, 4}};
  const auto crosses = [&](const waiting_request& request) {
    return forecast.Choose(request, kBehindOneSecond, offers, kStart) !=
           nullptr;
  };
  CHECK(!crosses(MakeWaiting(milliseconds(2'000), milliseconds(4'000))));
  CHECK(!crosses(MakeWaiting(milliseconds(100), milliseconds(4'000))));
  CHECK(crosses(MakeWaiting(milliseconds(100), milliseconds(700))));
  CHECK(crosses(MakeWaiting(milliseconds(700), milliseconds(4'000))));
}

// Guards against requests that take the slots of a domain whose own callers
// wait as long, and urgent ones that wait for less urgent ones there.
TEST_CASE("the wait of the callers in the other domain counts") {
  cross_domain_forecast forecast = MakeForecast(1'000);
  waiting_request request =
      MakeWaiting(milliseconds(2'000), milliseconds(4'000));
  const std::vector<domain_offer> offers = {{domain_name("b"), 1, 4}};
  forecast.SetSupply({{domain_name("a"), {2, 10, {}}},
                      {domain_name("b"), {2, 10, {{1, milliseconds(1'000)}}}}},
                     kStart);
  CHECK(forecast.Choose(request, kBehindOneSecond, offers, kStart) == nullptr);
  request.message.rank = 0;
  CHECK(forecast.Choose(request, kBehindOneSecond, offers, kStart) != nullptr);
}

// Guards against an overflow that goes to one domain alone because it is worth
// the price a few milliseconds before another one with more free slots.
TEST_CASE("domains with similar response times share an overflow") {
  const waiting_request request =
      MakeWaiting(milliseconds(2'000), milliseconds(4'000));
  const auto choose = [&](double cost_in_c) {
    // The price is 450 ms; it takes a gain of 562 ms to open a domain.
    cross_domain_forecast forecast = MakeForecast(7'260);
    const std::vector<domain_offer> offers = {
        {domain_name("b"), 1.1, 4}, {domain_name("c"), cost_in_c, 40}};
    return forecast.Choose(request, kBehindOneSecond, offers, kStart)->domain;
  };
  CHECK(choose(1.24) == domain_name("c"));
  CHECK(choose(1.8) == domain_name("b"));
}

// Guards against requests that are held back because of the link although their
// domain has no endpoint in service.
TEST_CASE("callers of a domain without endpoints go elsewhere") {
  cross_domain_forecast forecast = MakeForecast(1'000);
  for (const char* endpoint : {"b-0", "b-1", "b-2"}) {
    forecast.OnNoResponse({domain_name("a"), domain_name("b")},
                          endpoint_id(endpoint), kStart);
  }
  const waiting_request request =
      MakeWaiting(milliseconds(2'000), milliseconds(4'000));
  const std::vector<domain_offer> offers = {{domain_name("b"), 1, 4}};
  CHECK(forecast.Choose(request, kBehindOneSecond, offers, kStart) == nullptr);
  CHECK(forecast.Choose(request, own_domain_option(), offers, kStart) !=
        nullptr);
}

// Guards against requests that wait for their own domain while its endpoints
// stand still.
TEST_CASE("a request that is held back is considered again") {
  slot_scheduler scheduler(service_name("manifest"));
  // An upload is priced at 310 ms.
  scheduler.SetDomainPolicy(forecast_domain_cost{5'000});
  test_load load = ShortOfEndpoints();
  scheduler.SetEndpoints(EndpointsOf(load), nullptr, kStart);
  std::uint64_t next = 0;
  instant now = kStart;
  // Each round uses both domains, so that the link is known.
  for (int round = 0; round < 12; ++round) {
    for (int i = 0; i < 12; ++i) {
      permit_request upload = MakeUpload(++next, "a", 1);
      upload.objective_left_ms = 20'000;
      upload.time_left_ms = 20'000;
      scheduler.RequestPermit(upload, now);
    }
    std::vector<permit_reply> replies = scheduler.TakeReplies(now);
    now += milliseconds(200);
    for (const permit_reply& reply : replies) {
      if (const auto* granted = std::get_if<permit_granted>(&reply)) {
        scheduler.ReleasePermit(
            {granted->id, granted->service, granted->endpoint.endpoint,
             permit_outcome::kAnswered, 200, std::nullopt},
            now);
      }
    }
  }
  scheduler.TakeReplies(now);
  CHECK(scheduler.waiting_count() > 0);
  CHECK(scheduler.NextWakeup() <= now + milliseconds(20));
  // The requests that run in "a" take 50 times as long as expected.
  const instant end = now + seconds(10);
  for (; now < end && scheduler.waiting_count() > 0; now += milliseconds(20)) {
    scheduler.TakeReplies(now);
  }
  CHECK(scheduler.waiting_count() == 0);
}

// Guards against a burst that takes all free slots of another domain at once,
// and keeps them from the callers that come to wait there.
TEST_CASE("the share of another domain changes in steps") {
  domain_share share;
  REQUIRE(share.Admits(milliseconds(100), milliseconds(50), kStart));
  CHECK(share.HasRoom(1, 7));
  CHECK(!share.HasRoom(2, 6));
  CHECK(share.Update(false, kStart));
  CHECK(share.share() == 0.375);
  CHECK(!share.HasRoom(3, 5));
  CHECK(!share.Update(false, kStart + milliseconds(100)));
  CHECK(share.Update(false, kStart + milliseconds(200)));
  CHECK(share.share() == 0.5);
  CHECK(share.Update(true, kStart + milliseconds(400)));
  CHECK(share.share() == 0.25);
  // It closes when nothing was worth the price for 2 s.
  CHECK(share.Update(false, kStart + milliseconds(2'000)));
  CHECK(!share.is_open());
  CHECK(!share.Admits(milliseconds(60), milliseconds(50), kStart));
}

// Guards against decisions by a forecast without measurements.
TEST_CASE("a link without samples is compared by the fixed factor") {
  cross_domain_forecast forecast;
  forecast.SetPrice(1'000'000);
  const waiting_request request =
      MakeWaiting(milliseconds(2'000), milliseconds(4'000));
  const std::vector<domain_offer> offers = {{domain_name("b"), 1, 4}};
  own_domain_option own;
  own.least_cost = 1;
  CHECK(forecast.Choose(request, own, offers, kStart) != nullptr);
  own.free_cost = 1.3;
  CHECK(forecast.Choose(request, own, offers, kStart) == nullptr);
  own.free_cost = 1.4;
  CHECK(forecast.Choose(request, own, offers, kStart) != nullptr);
}

}  // namespace
}  // namespace bluebell
