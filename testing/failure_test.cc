// Failures of whole processes and of the network between them. Each test runs a
// small region behind the fault proxy, sends load, breaks something and checks
// what ran against what the callers were told.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "testing/deployment.h"
#include "testing/execution_check.h"
#include "testing/load_run.h"

namespace bluebell {
namespace {

constexpr milliseconds kReadyLimit{60'000};
constexpr milliseconds kBefore{1'500};
constexpr const char* kCut = R"({"fault":"lose"})";
constexpr const char* kPass = R"({"fault":"pass"})";

deployment_plan TestPlan() {
  deployment_plan plan = SmallPlan();
  // Runs of this program at the same time don't share ports, and none uses
  // those of the fault soaks (from 18'000) and of fault_proxy_test (28'000).
  constexpr int kFirstPort = 9'000;
  constexpr int kSlots = 8;
  constexpr int kPorts = 1'000;
  plan.first_port =
      static_cast<std::uint16_t>(kFirstPort + kPorts * (::getpid() % kSlots));
  return plan;
}

std::unique_ptr<deployment> StartRegion(const deployment_plan& plan) {
  const std::string folder =
      BLUEBELL_BUILD_DIR "/failure_test/" + std::to_string(::getpid());
  auto started = deployment::Start(plan, BLUEBELL_BUILD_DIR, folder);
  REQUIRE(started.has_value());
  REQUIRE(started.value()->WaitReady(kReadyLimit));
  return std::move(started).value();
}

load_stream Stream(const std::string& service, bool keyed, bool idempotent) {
  load_stream stream;
  stream.service = service;
  stream.name = service;
  stream.keyed = keyed;
  stream.keys = uniform_keys{60};
  stream.idempotent = idempotent;
  stream.rate = 60;
  stream.deadline = milliseconds(1'500);
  return stream;
}

// Lookups, bookings that must not run twice, and work without keys.
load_plan LoadFor(const deployment& region, milliseconds length) {
  load_plan plan;
  plan.targets = region.CallerAddresses();
  plan.length = length;
  plan.streams = {Stream("tracker", true, true), Stream("booker", true, false),
                  Stream("manifest", false, false)};
  return plan;
}

struct disturbed_run {
  load_plan plan;
  load_report report;
};

// Sends load for `length` and calls `disturb` after a while.
disturbed_run RunDisturbed(const load_plan& plan,
                           const std::function<void()>& disturb) {
  auto load = std::async(std::launch::async, [&] { return RunLoad(plan); });
  std::this_thread::sleep_for(kBefore);
  disturb();
  return {plan, load.get()};
}

void CheckNoFaults(const deployment& region, const disturbed_run& run) {
  const auto executions = region.Executions();
  REQUIRE(executions.has_value());
  REQUIRE_FALSE(executions.value().empty());
  const std::vector<std::string> none;
  CHECK(FindFaults(run.plan, run.report, executions.value()) == none);
}

// The requests of a stream that were meant to be sent before `until` and got no
// answer, a line each.
std::string Unanswered(const disturbed_run& run,
                       std::size_t stream,
                       duration until) {
  const auto in_ms = [](duration time) {
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
  };
  std::string lines;
  for (const load_record& each : run.report.records) {
    const bool counts = each.stream == stream && each.intended < until;
    if (counts && each.outcome != load_outcome::kAnswer) {
      lines += each.id + " " + ToString(each.outcome) + " " + each.reason +
               ", sent at " + in_ms(each.intended) + " ms, ended at " +
               in_ms(each.ended) + " ms\n";
    }
  }
  return lines;
}

// After the failure is over, each service answers again at each daemon.
void CheckRecovers(const deployment& region) {
  CHECK(region.WaitReady(kReadyLimit));
}

void RequireDone(const result<bool>& done) {
  REQUIRE(done.has_value());
  REQUIRE(done.value());
}

TEST_CASE("partition between failure domains: no key gets two owners") {
  const auto region = StartRegion(TestPlan());
  const auto routes = region->layout().RoutesBetween(region->plan().domains[0]);
  const auto run = RunDisturbed(LoadFor(*region, seconds(9)), [&] {
    RequireDone(region->SetProxyFault(routes, kCut));
    std::this_thread::sleep_for(seconds(4));
    RequireDone(region->SetProxyFault(routes, kPass));
  });
  CheckNoFaults(*region, run);
  CheckRecovers(*region);
}

TEST_CASE(
    "partition of a domain from all others and the platform: its keys "
    "move without a second owner") {
  const auto region = StartRegion(TestPlan());
  const std::string& domain = region->plan().domains[0];
  auto routes = region->layout().RoutesBetween(domain);
  routes.push_back(domain + ">platform");
  const auto run = RunDisturbed(LoadFor(*region, seconds(14)), [&] {
    RequireDone(region->SetProxyFault(routes, kCut));
    // Longer than the domain's autonomy, so that the others take its keys.
    std::this_thread::sleep_for(seconds(9));
    RequireDone(region->SetProxyFault(routes, kPass));
  });
  CheckNoFaults(*region, run);
  CheckRecovers(*region);
}

TEST_CASE("partition of every domain from the platform: requests go on") {
  const auto region = StartRegion(TestPlan());
  const auto run = RunDisturbed(LoadFor(*region, seconds(9)), [&] {
    for (const std::string& domain : region->plan().domains) {
      RequireDone(region->SetProxyFault({domain + ">platform"}, kCut));
    }
    std::this_thread::sleep_for(seconds(6));
    for (const std::string& domain : region->plan().domains) {
      RequireDone(region->SetProxyFault({domain + ">platform"}, kPass));
    }
  });
  CheckNoFaults(*region, run);
  // An outage without partitions stops nothing.
  for (std::size_t stream = 0; stream < run.plan.streams.size(); ++stream) {
    CHECK(FiguresOf(run.plan, run.report, stream).in_time_share > 0.99);
  }
  CheckRecovers(*region);
}

TEST_CASE("a daemon that was stopped and resumes acts on nothing outdated") {
  const auto region = StartRegion(TestPlan());
  const auto run = RunDisturbed(LoadFor(*region, seconds(8)), [&] {
    region->daemon(0).Signal(SIGSTOP);
    std::this_thread::sleep_for(seconds(3));
    region->daemon(0).Signal(SIGCONT);
  });
  CheckNoFaults(*region, run);
  CheckRecovers(*region);
}

TEST_CASE("an endpoint that froze and resumes runs no order of a key it lost") {
  const auto region = StartRegion(TestPlan());
  const auto run = RunDisturbed(LoadFor(*region, seconds(9)), [&] {
    for (const char* service : {"tracker", "booker"}) {
      RequireDone(region->SetEndpointFaults(service, 0, R"({"freeze":true})"));
    }
    std::this_thread::sleep_for(seconds(4));
    for (const char* service : {"tracker", "booker"}) {
      RequireDone(region->SetEndpointFaults(service, 0, R"({"freeze":false})"));
    }
  });
  CheckNoFaults(*region, run);
  CheckRecovers(*region);
}

TEST_CASE("a killed daemon: no request runs twice, no outcome is false") {
  deployment_plan plan = TestPlan();
  plan.daemons_per_domain = 2;
  const auto region = StartRegion(plan);
  load_plan load = LoadFor(*region, seconds(6));
  load.repeat_lost = true;
  const auto run =
      RunDisturbed(load, [&] { region->daemon(0).Signal(SIGKILL); });
  CheckNoFaults(*region, run);
  RequireDone(region->RestartDaemon(0));
  CheckRecovers(*region);
}

TEST_CASE("a killed endpoint: its keys move, and its next run owns nothing") {
  const auto region = StartRegion(TestPlan());
  const auto run = RunDisturbed(LoadFor(*region, seconds(8)), [&] {
    RequireDone(region->SetEndpointFaults("booker", 0, R"({"down":true})"));
    std::this_thread::sleep_for(seconds(3));
    RequireDone(region->SetEndpointFaults("booker", 0, R"({"down":false})"));
  });
  CheckNoFaults(*region, run);
  CheckRecovers(*region);
}

TEST_CASE("a lost failure domain: the others take over its keys") {
  const auto region = StartRegion(TestPlan());
  load_plan load = LoadFor(*region, seconds(12));
  load.targets.erase(load.targets.begin());
  const auto run = RunDisturbed(load, [&] {
    region->daemon(0).Signal(SIGKILL);
    for (const deployed_service& service : region->plan().services) {
      RequireDone(region->SetEndpointFaults(service.spec.name.value(), 0,
                                            R"({"down":true})"));
    }
  });
  CheckNoFaults(*region, run);
  // Autonomy, then about a second: the last seconds are undisturbed.
  const load_figures late =
      FiguresOf(run.plan, run.report, 0, seconds(10), seconds(12));
  CHECK(late.answers == late.sent);
}

TEST_CASE("a store outage while keys change their owner: one owner, no loss") {
  const auto region = StartRegion(TestPlan());
  const auto run = RunDisturbed(LoadFor(*region, seconds(10)), [&] {
    RequireDone(region->SetEndpointFaults("tracker", 0, R"({"down":true})"));
    std::this_thread::sleep_for(milliseconds(550));
    RequireDone(region->SetPlatformFaults(R"({"outage":true})"));
    std::this_thread::sleep_for(seconds(3));
    RequireDone(region->SetPlatformFaults(R"({"outage":false})"));
  });
  CheckNoFaults(*region, run);
  CheckRecovers(*region);
}

TEST_CASE("lost answers of the store: a write that took effect is not undone") {
  const auto region = StartRegion(TestPlan());
  const auto run = RunDisturbed(LoadFor(*region, seconds(9)), [&] {
    RequireDone(region->SetPlatformFaults(R"({"lose_answers":true})"));
    RequireDone(region->SetEndpointFaults("tracker", 0, R"({"down":true})"));
    std::this_thread::sleep_for(seconds(2));
    RequireDone(region->SetPlatformFaults(R"({"lose_answers":false})"));
  });
  CheckNoFaults(*region, run);
  CheckRecovers(*region);
}

TEST_CASE("open connections that go silent don't count as dead endpoints") {
  const auto region = StartRegion(TestPlan());
  const auto run = RunDisturbed(LoadFor(*region, seconds(8)), [&] {
    RequireDone(region->SetProxyFault(
        {"*"}, R"({"fault":"pass","silence_open":true})"));
  });
  CheckNoFaults(*region, run);
  const load_figures late =
      FiguresOf(run.plan, run.report, 0, seconds(6), seconds(8));
  CHECK(late.answers == late.sent);
}

TEST_CASE(
    "all entry daemons replaced in turn under load: nothing interrupted") {
  deployment_plan plan = TestPlan();
  plan.daemons_per_domain = 2;
  const auto region = StartRegion(plan);
  load_plan load = LoadFor(*region, seconds(18));
  load.repeat_lost = true;
  const auto run = RunDisturbed(load, [&] {
    for (std::size_t index = 0; index < region->daemon_count(); ++index) {
      region->daemon(index).Signal(SIGTERM);
      CHECK(region->daemon(index).Wait(seconds(20)) == 0);
      RequireDone(region->RestartDaemon(index));
      std::this_thread::sleep_for(seconds(1));
    }
  });
  CheckNoFaults(*region, run);
  for (std::size_t stream = 0; stream < run.plan.streams.size(); ++stream) {
    CHECK(FiguresOf(run.plan, run.report, stream).unknown == 0);
  }
  CheckRecovers(*region);
}

TEST_CASE("a graceful stop ends no request that is in flight") {
  deployment_plan plan = TestPlan();
  for (deployed_service& service : plan.services) {
    service.service_ms = 300;
    service.options = {"--distribution=fixed"};
  }
  const auto region = StartRegion(plan);
  load_plan load = LoadFor(*region, milliseconds(1'700));
  for (load_stream& stream : load.streams) {
    stream.rate = 4;
    stream.deadline = seconds(5);
  }
  load.targets = {region->layout().CallerAddress(0)};
  const auto run = RunDisturbed(load, [&] {
    region->daemon(0).Signal(SIGTERM);
    CHECK(region->daemon(0).Wait(seconds(20)) == 0);
  });
  CheckNoFaults(*region, run);
  for (std::size_t stream = 0; stream < run.plan.streams.size(); ++stream) {
    const load_figures before =
        FiguresOf(run.plan, run.report, stream, duration(0), kBefore);
    INFO(Unanswered(run, stream, kBefore));
    CHECK(before.answers == before.sent);
  }
}

}  // namespace
}  // namespace bluebell
