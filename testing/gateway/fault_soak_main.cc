// Runs the gateway's real processes under random faults for a range of seeds
// and checks what callers and endpoints saw.
//
//   fault_soak --program=build/programs/bluebellgw --seeds=1..50

#include <docopt/docopt.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/result.h"
#include "testing/gateway/fault_schedule.h"
#include "testing/gateway/gateway_world.h"
#include "testing/gateway/promise_check.h"
#include "testing/seed_range.h"

namespace {

constexpr const char* kUsage =
    R"(Runs the gateway's processes under random faults.

Usage:
  fault_soak --program=FILE [--seeds=RANGE] [--jobs=N] [--gateways=N]
             [--seconds=N] [--logs=FOLDER] [--port=N]
             [--endpoint-faults | --all-endpoint-faults | --key-faults |
              --store-rollbacks | --role-changes]

Options:
  --program=FILE  The program bluebellgw.
  --seeds=RANGE   First and last seed [default: 1..4].
  --jobs=N        Runs at a time [default: 3].
  --gateways=N    Daemons in each run [default: 5].
  --seconds=N     How long faults last in each run [default: 14].
  --logs=FOLDER   Logs of runs that broke a promise [default: fault-soak-logs].
  --port=N        The first port on loopback [default: 18000].
  --endpoint-faults      Planned changes and faulty responses only.
  --all-endpoint-faults  Those, and all other faults of endpoints.
  --key-faults           Keys that move away and back, and what disturbs that.
  --store-rollbacks      Rollbacks of the store, beside cuts and kills.
  --role-changes         Coordinators that end, in a store era above zero.
)";

using bluebell::milliseconds;

constexpr milliseconds kStart{3'000};
// In a later era the first keys are granted after 14 s, since no daemon knows
// what was granted before.
constexpr milliseconds kStartInLaterEra{17'000};
// After the faults: time to recover, and then to be seen serving.
constexpr milliseconds kHealed{7'000};
// Without a coordinator that has authority, keys wait for 14 s.
constexpr milliseconds kHealedAfterRollback{19'000};
// Every third seed has planned changes only.
constexpr std::uint64_t kPlannedOnlyEach = 3;
// Every second seed of key faults has endpoints that end work late.
constexpr std::uint64_t kEndsWorkLateEach = 2;
constexpr std::size_t kShownViolations = 5;

struct totals {
  std::mutex mutex;
  std::uint64_t runs = 0;
  std::uint64_t faults = 0;
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t violations = 0;
};

struct soak_options {
  std::string program;
  std::string logs;
  std::size_t gateways = 0;
  milliseconds length{0};
  // No value: planned changes or mixed faults, by the seed.
  std::optional<bluebell::fault_selection> selection;
};

bluebell::fault_selection SelectionOf(std::uint64_t seed,
                                      const soak_options& soak) {
  if (soak.selection) {
    return *soak.selection;
  }
  return seed % kPlannedOnlyEach == 0 ? bluebell::fault_selection::kPlanned
                                      : bluebell::fault_selection::kMixed;
}

std::optional<bluebell::fault_selection> ChosenSelection(
    const std::map<std::string, docopt::value>& options) {
  if (options.at("--all-endpoint-faults").asBool()) {
    return bluebell::fault_selection::kAllEndpointFaults;
  }
  if (options.at("--endpoint-faults").asBool()) {
    return bluebell::fault_selection::kEndpoints;
  }
  if (options.at("--key-faults").asBool()) {
    return bluebell::fault_selection::kKeyFaults;
  }
  if (options.at("--store-rollbacks").asBool()) {
    return bluebell::fault_selection::kStoreRollbacks;
  }
  if (options.at("--role-changes").asBool()) {
    return bluebell::fault_selection::kRoleChanges;
  }
  return std::nullopt;
}

// A daemon that another run is just starting holds all sockets of this process
// until it closes them, so a port of the last run may be in use for a moment.
bluebell::result<std::unique_ptr<bluebell::gateway_world>> MakeWorld(
    const bluebell::gateway_world_options& options) {
  constexpr int kAttempts = 20;
  constexpr milliseconds kPause{100};
  auto made = bluebell::gateway_world::Make(options);
  for (int i = 1; !made && i < kAttempts; ++i) {
    std::this_thread::sleep_for(kPause);
    made = bluebell::gateway_world::Make(options);
  }
  return made;
}

// Returns the promises that the run broke.
std::vector<std::string> RunSeed(std::uint64_t seed,
                                 std::uint16_t port,
                                 const soak_options& soak,
                                 totals& sum) {
  bluebell::gateway_world_options options;
  options.seed = seed;
  options.program = soak.program;
  options.folder = soak.logs + "/seed-" + std::to_string(seed);
  options.first_port = port;
  options.gateways = soak.gateways;
  const bluebell::fault_selection selection = SelectionOf(seed, soak);
  if (selection == bluebell::fault_selection::kKeyFaults) {
    // All keys move between these two.
    options.keyed_endpoints = 2;
    options.closes = seed % kEndsWorkLateEach == 0
                         ? bluebell::close_rule::kEndsWorkLate
                         : bluebell::close_rule::kFinishesWork;
  }
  auto made = MakeWorld(options);
  if (!made) {
    return {"not run: " + made.error().ToString()};
  }
  bluebell::gateway_world& world = *made.value();
  std::ofstream log(options.folder + "/faults.log");
  bluebell::fault_schedule faults(world, selection, log);
  const bool in_later_era =
      selection == bluebell::fault_selection::kRoleChanges;
  if (in_later_era) {
    world.store().RollBack(milliseconds(0));
  }
  world.RunFor(in_later_era ? kStartInLaterEra : kStart);
  faults.Start(soak.length);
  world.RunFor(soak.length);
  faults.Heal();
  world.RunFor(selection == bluebell::fault_selection::kStoreRollbacks
                   ? kHealedAfterRollback
                   : kHealed);
  world.StopCallers();
  bluebell::soak_record& record = world.record();
  const std::vector<std::string>& shared = world.holders().violations();
  record.violations.insert(record.violations.end(), shared.begin(),
                           shared.end());
  const std::lock_guard lock(sum.mutex);
  sum.faults += faults.faults();
  sum.requests += record.requests.size();
  for (const bluebell::sent_request& each : record.requests) {
    sum.served += each.status == 200 ? 1 : 0;
  }
  return bluebell::FindBrokenPromises(record);
}

void RunSeeds(std::atomic<std::uint64_t>& next,
              std::uint64_t last,
              std::uint16_t port,
              const soak_options& soak,
              totals& sum) {
  for (std::uint64_t seed = next++; seed <= last; seed = next++) {
    const std::vector<std::string> broken = RunSeed(seed, port, soak, sum);
    const std::lock_guard lock(sum.mutex);
    ++sum.runs;
    sum.violations += broken.size();
    for (std::size_t i = 0; i < std::min(kShownViolations, broken.size());
         ++i) {
      std::cout << "seed " << seed << ": " << broken[i] << '\n';
    }
    if (broken.empty()) {
      std::filesystem::remove_all(soak.logs + "/seed-" + std::to_string(seed));
    } else {
      const std::string folder = soak.logs + "/seed-" + std::to_string(seed);
      std::ofstream all(folder + "/violations.log");
      for (const std::string& each : broken) {
        all << each << '\n';
      }
      std::cout << "seed " << seed << ": " << broken.size()
                << " violations; logs in " << folder << '\n';
    }
  }
}

int Run(std::map<std::string, docopt::value>& options) {
  const auto seeds = bluebell::seed_range::Parse(options["--seeds"].asString());
  std::atomic<std::uint64_t> next = seeds.first;
  const soak_options soak{
      options["--program"].asString(), options["--logs"].asString(),
      static_cast<std::size_t>(options["--gateways"].asLong()),
      std::chrono::seconds(options["--seconds"].asLong()),
      ChosenSelection(options)};
  totals sum;
  std::vector<std::thread> threads;
  const auto jobs = static_cast<std::uint16_t>(options["--jobs"].asLong());
  const auto port = static_cast<std::uint16_t>(options["--port"].asLong());
  for (std::uint16_t i = 0; i < jobs; ++i) {
    const auto own = static_cast<std::uint16_t>(
        port + i * bluebell::gateway_world::kPortsPerWorld);
    threads.emplace_back(
        [&, own] { RunSeeds(next, seeds.last, own, soak, sum); });
  }
  for (std::thread& each : threads) {
    each.join();
  }
  std::cout << "served " << sum.served << "\nruns " << sum.runs << ", faults "
            << sum.faults << ", requests " << sum.requests << ", violations "
            << sum.violations << '\n';
  return sum.violations == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    std::map<std::string, docopt::value> options =
        docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
    return Run(options);
  } catch (const std::exception& failure) {
    std::cerr << "fault_soak: " << failure.what() << '\n';
    return 2;
  }
}
