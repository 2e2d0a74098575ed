// Measures both regions in every scenario, with the router's own policies and
// with the baselines beside them, and writes one JSON file.

#include <docopt/docopt.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <future>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "testing/deployment.h"
#include "testing/execution_check.h"
#include "testing/load_run.h"
#include "testing/measure_figures.h"
#include "testing/measure_scenario.h"

namespace bluebell {
namespace {

namespace json = boost::json;

constexpr const char* kUsage = R"(Measurements.

Usage:
  measure --out=FILE [options]

Options:
  --out=FILE         Where the figures go.
  --build=DIR        The build folder [default: build].
  --folder=DIR       Where settings and logs go [default: build/measure].
  --seconds=N        Length of each run [default: 8].
  --daemons=N        Daemons per failure domain [default: 2].
  --region=NAME      Only this region.
  --scenario=NAME    Only this scenario.
)";

constexpr milliseconds kReadyLimit{60'000};
constexpr double kDirectRate = 100;

struct run_options {
  std::string build;
  std::string folder;
  milliseconds length{0};
};

json::object Failure(const std::string& what) {
  std::cerr << "  " << what << '\n';
  return {{"failed", what}};
}

json::object MeasureOnce(const deployment_plan& wanted,
                         const measure_scenario& scenario,
                         const run_options& options) {
  const auto started =
      deployment::Start(wanted, options.build,
                        options.folder + "/" + wanted.region + "-" +
                            scenario.name + "-" + wanted.dispatch_policy);
  if (!started) {
    return Failure(started.error().ToString());
  }
  deployment& region = *started.value();
  if (!region.WaitReady(kReadyLimit)) {
    return Failure("not every daemon answers for every service");
  }
  const load_plan plan = LoadFor(scenario, region, options.length);
  auto load = std::async(std::launch::async, [&] { return RunLoad(plan); });
  std::this_thread::sleep_for(options.length / 2);
  Disturb(scenario, region);
  const load_report report = load.get();
  const auto executions = region.Executions();
  if (!executions) {
    return Failure(executions.error().ToString());
  }
  const deployed_service& first = wanted.services.front();
  json::object figures = FiguresJson(plan, report, executions.value(),
                                     first.spec.name.value(), first.endpoints);
  figures["faults"] = FindFaults(plan, report, executions.value()).size();
  return figures;
}

// The median and p99 of light load through the router and without it.
json::object MeasureOverhead(deployment_plan wanted,
                             const run_options& options) {
  deployed_service& service = wanted.services.front();
  service.spec.checks_epoch = false;
  service.service_ms = 2;
  service.options = {"--distribution=fixed"};
  wanted.services.resize(1);
  const auto started =
      deployment::Start(wanted, options.build,
                        options.folder + "/" + wanted.region + "-overhead");
  if (!started || !started.value()->WaitReady(kReadyLimit)) {
    return Failure("the region for the overhead doesn't start");
  }
  load_stream stream;
  stream.service = service.spec.name.value();
  stream.rate = kDirectRate;
  load_plan routed;
  routed.targets = started.value()->CallerAddresses();
  routed.length = options.length / 2;
  routed.streams = {stream};
  load_plan direct = routed;
  direct.direct = true;
  direct.targets.clear();
  for (std::size_t index = 0; index < service.endpoints; ++index) {
    direct.targets.push_back(
        started.value()->layout().EndpointAddress(0, index));
  }
  const load_figures through = FiguresOf(routed, RunLoad(routed), 0);
  const load_figures without = FiguresOf(direct, RunLoad(direct), 0);
  return {{"p50", through.p50_ms - without.p50_ms},
          {"p99", through.p99_ms - without.p99_ms},
          {"routed_p99", through.p99_ms},
          {"direct_p99", without.p99_ms},
          {"answered", through.answers}};
}

deployment_plan MeasuredPlan(deployment_plan plan, std::uint32_t daemons) {
  plan.daemons_per_domain = daemons;
  plan.with_proxy = true;
  // Ten times capacity must stay within what one load generator can send.
  for (deployed_service& service : plan.services) {
    constexpr double kMsPerSlot = 50;
    service.service_ms = kMsPerSlot * service.spec.slots;
    service.options = {"--cold-factor=3"};
  }
  return plan;
}

json::object MeasureRegion(const deployment_plan& plan,
                           const std::string& only,
                           const run_options& options) {
  deployment_plan baseline = plan;
  baseline.dispatch_policy = "per_host_limit";
  baseline.placement_policy = "consistent_hash";
  json::object scenarios;
  for (const measure_scenario& scenario : AllScenarios()) {
    if (!only.empty() && scenario.name != only) {
      continue;
    }
    std::cerr << plan.region << ' ' << scenario.name << '\n';
    scenarios[scenario.name] = {
        {"bluebell", MeasureOnce(plan, scenario, options)},
        {"baseline", MeasureOnce(baseline, scenario, options)}};
  }
  return {{"scenarios", std::move(scenarios)},
          {"router_overhead_ms", MeasureOverhead(plan, options)}};
}

int Run(std::map<std::string, docopt::value> values) {
  const auto text = [&](const char* name) {
    return values[name] ? values[name].asString() : std::string();
  };
  const run_options options{text("--build"), text("--folder"),
                            seconds(std::stol(text("--seconds")))};
  const auto daemons =
      static_cast<std::uint32_t>(std::stoul(text("--daemons")));
  json::object regions;
  for (const deployment_plan& plan : {LumagreenPlan(), ArmorPlan()}) {
    if (text("--region").empty() || text("--region") == plan.region) {
      regions[plan.region] = MeasureRegion(MeasuredPlan(plan, daemons),
                                           text("--scenario"), options);
    }
  }
  std::ofstream(text("--out")) << json::serialize(regions) << '\n';
  return 0;
}

}  // namespace
}  // namespace bluebell

int main(int argc, char** argv) {
  try {
    return bluebell::Run(
        docopt::docopt(bluebell::kUsage, {argv + 1, argv + argc}));
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
