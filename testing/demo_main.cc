// Runs both regions at their present sizes, sends requests of every kind and
// rank, prints what came of them and checks it.

#include <docopt/docopt.h>

#include <csignal>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "testing/deployment.h"
#include "testing/execution_check.h"
#include "testing/load_run.h"

namespace bluebell {
namespace {

constexpr const char* kUsage = R"(Demonstration.

Usage:
  demo --build=DIR --folder=DIR [--daemons=N] [--seconds=N]

Options:
  --build=DIR    The build folder.
  --folder=DIR   Where settings and logs go.
  --daemons=N    Daemons per failure domain [default: 2].
  --seconds=N    Length of the load in each region [default: 4].
)";

constexpr milliseconds kReadyLimit{60'000};
constexpr milliseconds kStopLimit{20'000};

load_plan PlanFor(const deployment& region, milliseconds length) {
  load_plan plan;
  plan.targets = region.CallerAddresses();
  plan.length = length;
  plan.max_requests = 20'000;
  for (const deployed_service& service : region.plan().services) {
    for (const rank priority : kRanks) {
      load_stream stream;
      stream.service = service.spec.name.value();
      stream.priority = priority;
      stream.name = stream.service + "." + std::string(ToString(priority));
      stream.rate = 25;
      stream.keyed = service.spec.keyed;
      stream.keys = uniform_keys{200};
      // Lookups may run again; bookings, notes, limit requests and claims must
      // not.
      stream.idempotent =
          stream.service == "tracker" || stream.service == "cover-query";
      stream.deadline = milliseconds(3'000);
      stream.callers = 3;
      plan.streams.push_back(stream);
    }
  }
  return plan;
}

void PrintTable(const load_plan& plan, const load_report& report) {
  std::cout << std::left << std::setw(14) << "service" << std::setw(12)
            << "rank" << std::right << std::setw(8) << "sent" << std::setw(8)
            << "answer" << std::setw(9) << "not_run" << std::setw(9)
            << "unknown" << std::setw(9) << "no reply" << std::setw(9)
            << "p50 ms" << std::setw(9) << "p99 ms" << '\n'
            << std::fixed << std::setprecision(1);
  for (std::size_t index = 0; index < plan.streams.size(); ++index) {
    const load_figures row = FiguresOf(plan, report, index);
    std::cout << std::left << std::setw(14) << plan.streams[index].service
              << std::setw(12) << ToString(plan.streams[index].priority)
              << std::right << std::setw(8) << row.sent << std::setw(8)
              << row.answers << std::setw(9) << row.not_run << std::setw(9)
              << row.unknown << std::setw(9) << row.no_reply << std::setw(9)
              << row.p50_ms << std::setw(9) << row.p99_ms << '\n';
  }
}

// In an undisturbed region each request is answered.
std::vector<std::string> Unanswered(const load_plan& plan,
                                    const load_report& report) {
  std::vector<std::string> faults;
  for (const load_record& record : report.records) {
    if (record.outcome != load_outcome::kAnswer) {
      faults.push_back(plan.streams[record.stream].name + " " + record.id +
                       " ended as " + ToString(record.outcome) + ": " +
                       record.reason);
    }
  }
  return faults;
}

std::vector<std::string> StopAll(deployment& region) {
  std::vector<std::string> faults;
  for (std::size_t index = 0; index < region.daemon_count(); ++index) {
    region.daemon(index).Signal(SIGTERM);
  }
  for (std::size_t index = 0; index < region.daemon_count(); ++index) {
    const auto status = region.daemon(index).Wait(kStopLimit);
    if (status != 0) {
      faults.push_back("daemon " + std::to_string(index) +
                       " ended with status " +
                       (status ? std::to_string(*status) : "none"));
    }
  }
  return faults;
}

std::size_t Report(const std::string& check,
                   const std::vector<std::string>& faults) {
  std::cout << check << ": " << (faults.empty() ? "passed" : "FAILED") << '\n';
  constexpr std::size_t kShown = 5;
  for (std::size_t index = 0; index < std::min(kShown, faults.size());
       ++index) {
    std::cout << "  " << faults[index] << '\n';
  }
  return faults.size();
}

std::size_t RunRegion(const deployment_plan& wanted,
                      const std::string& build,
                      const std::string& folder,
                      milliseconds length) {
  const auto started =
      deployment::Start(wanted, build, folder + "/" + wanted.region);
  if (!started) {
    return Report("start", {started.error().ToString()});
  }
  deployment& region = *started.value();
  std::cout << "\nregion " << wanted.region << ": " << region.daemon_count()
            << " daemons in " << wanted.domains.size() << " failure domains"
            << std::endl;
  if (!region.WaitReady(kReadyLimit)) {
    return Report("ready", {"not every daemon answers for every service"});
  }
  const load_plan plan = PlanFor(region, length);
  const load_report report = RunLoad(plan);
  PrintTable(plan, report);
  const auto executions = region.Executions();
  if (!executions) {
    return Report("executions", {executions.error().ToString()});
  }
  return Report("each request answered", Unanswered(plan, report)) +
         Report("each key ran at its one owner",
                FindSharedKeys(executions.value())) +
         Report("no request that must not ran twice",
                FindDoubleRuns(plan, report, executions.value())) +
         Report("outcomes agree with executions",
                FindFalseOutcomes(plan, report, executions.value())) +
         Report("daemons stop in order", StopAll(region));
}

int Run(std::map<std::string, docopt::value> options) {
  std::size_t faults = 0;
  for (deployment_plan plan : {LumagreenPlan(), ArmorPlan()}) {
    plan.daemons_per_domain =
        static_cast<std::uint32_t>(std::stoul(options["--daemons"].asString()));
    faults += RunRegion(plan, options["--build"].asString(),
                        options["--folder"].asString(),
                        seconds(std::stol(options["--seconds"].asString())));
  }
  return faults == 0 ? 0 : 1;
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
