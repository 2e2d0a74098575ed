#include "testing/measure_scenario.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <thread>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

constexpr double kSteadyShare = 0.4;
// How steady work divides over the ranks.
constexpr std::array<double, kRanks.size()> kRankShare = {0.3, 0.5, 0.2};

double CapacityOf(const deployed_service& service) {
  constexpr double kMsPerSecond = 1'000;
  return service.endpoints * service.spec.slots * kMsPerSecond /
         service.service_ms;
}

load_stream SteadyStream(const deployed_service& service, rank priority) {
  load_stream stream;
  stream.service = service.spec.name.value();
  stream.priority = priority;
  stream.name = stream.service + "." + std::string(ToString(priority));
  stream.rate =
      CapacityOf(service) * kSteadyShare * kRankShare.at(RankIndex(priority));
  stream.keyed = service.spec.keyed;
  stream.keys = uniform_keys{2'000};
  stream.idempotent = priority != rank::kNormal;
  stream.deadline = priority == rank::kUrgent   ? milliseconds(1'000)
                    : priority == rank::kNormal ? milliseconds(2'000)
                                                : milliseconds(8'000);
  stream.callers = 3;
  return stream;
}

void Warn(const result<bool>& done) {
  if (!done || !done.value()) {
    std::cerr << "the disturbance was not applied: "
              << (done ? "refused" : done.error().ToString()) << '\n';
  }
}

void ReplaceDaemons(deployment& region, std::uint32_t count) {
  constexpr milliseconds kStopLimit{10'000};
  for (std::size_t index = 0;
       index < std::min<std::size_t>(count, region.daemon_count()); ++index) {
    region.daemon(index).Signal(SIGTERM);
    if (!region.daemon(index).Wait(kStopLimit)) {
      std::cerr << "daemon " << index << " did not stop\n";
    }
    Warn(region.RestartDaemon(index));
  }
}

void CutDomain(const deployment& region) {
  const std::string& domain = region.plan().domains.front();
  auto routes = region.layout().RoutesBetween(domain);
  routes.push_back(domain + ">platform");
  Warn(region.SetProxyFault(routes, R"({"fault":"lose"})"));
}

void RestartEndpoint(const deployment& region, const std::string& service) {
  Warn(region.SetEndpointFaults(service, 0, R"({"down":true})"));
  std::this_thread::sleep_for(milliseconds(100));
  Warn(region.SetEndpointFaults(service, 0, R"({"down":false})"));
}

}  // namespace

std::vector<measure_scenario> AllScenarios() {
  return {
      {"steady", steady_load{}},
      {"flood_least_urgent", work_flood{rank::kDeferrable}},
      {"flood_most_urgent", work_flood{rank::kUrgent}},
      {"hot_keys_replaced", hot_key_change{}},
      {"endpoint_lost", endpoint_trouble{R"({"down":true})"}},
      {"endpoint_drained", endpoint_leaves{}},
      {"endpoint_cold", endpoint_cold{}},
      {"endpoint_frozen", endpoint_trouble{R"({"freeze":true})"}},
      {"endpoint_slow_reports_idle",
       endpoint_trouble{R"({"slow":8,"lie":true})"}},
      {"silent_connections", connections_silent{}},
      {"daemons_replaced", daemons_replaced{}},
      {"domain_partitioned", domain_cut_off{}},
  };
}

load_plan LoadFor(const measure_scenario& scenario,
                  const deployment& region,
                  milliseconds length) {
  load_plan plan;
  plan.targets = region.CallerAddresses();
  plan.length = length;
  plan.repeat_lost = true;
  for (const deployed_service& service : region.plan().services) {
    for (const rank priority : kRanks) {
      plan.streams.push_back(SteadyStream(service, priority));
    }
  }
  const deployed_service& first = region.plan().services.front();
  if (const auto* flood = std::get_if<work_flood>(&scenario.kind)) {
    load_stream stream = SteadyStream(first, flood->priority);
    stream.name = "flood";
    stream.rate = CapacityOf(first) * flood->times_capacity;
    stream.from = length / 2;
    plan.streams.push_back(stream);
  }
  if (std::holds_alternative<hot_key_change>(scenario.kind)) {
    for (load_stream& stream : plan.streams) {
      if (stream.priority == rank::kNormal) {
        stream.keys = hot_keys{2'000, 8, 0.4, length / 3};
      } else {
        stream.keys = zipf_keys{2'000, 1.0};
      }
    }
  }
  return plan;
}

void Disturb(const measure_scenario& scenario, deployment& region) {
  const std::string& service = region.plan().services.front().spec.name.value();
  std::visit(
      overloaded{
          [](const steady_load&) {}, [](const work_flood&) {},
          [](const hot_key_change&) {},
          [&](const endpoint_trouble& trouble) {
            Warn(region.SetEndpointFaults(service, 0, trouble.faults));
          },
          [&](const endpoint_leaves&) {
            Warn(region.DrainEndpoint(service, 0));
          },
          [&](const endpoint_cold&) { RestartEndpoint(region, service); },
          [&](const connections_silent&) {
            Warn(region.SetProxyFault(
                {"*"}, R"({"fault":"pass","silence_open":true})"));
          },
          [&](const daemons_replaced& replaced) {
            ReplaceDaemons(region, replaced.count);
          },
          [&](const domain_cut_off&) { CutDomain(region); }},
      scenario.kind);
}

}  // namespace bluebell
