// Runs the decisions under random faults for a range of seeds.
//
//   soak --seeds=1..2000

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <docopt/docopt.h>

#include "testing/decision_run.h"
#include "testing/seed_range.h"

namespace {

constexpr const char* kUsage = R"(Runs the decisions under random faults.

Usage:
  soak [--seeds=RANGE] [--threads=N] [--autonomy-ms=N] [--trace]

Options:
  --seeds=RANGE     First and last seed [default: 1..200].
  --threads=N       Runs at a time [default: 6].
  --trace           Print each decision and fault; for one seed.
  --autonomy-ms=N   The setting domain_autonomy [default: 10000].
)";

struct totals {
  std::mutex mutex;
  std::uint64_t runs = 0;
  std::uint64_t faults = 0;
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t writes = 0;
  std::uint64_t config_changes = 0;
  double unavailable = 0;
  std::uint64_t violations = 0;
};

void Add(totals& sum, std::uint64_t seed, const bluebell::run_counts& counts) {
  const std::lock_guard lock(sum.mutex);
  ++sum.runs;
  sum.faults += counts.faults;
  sum.requests += counts.requests;
  sum.served += counts.served;
  sum.writes += counts.moves;
  sum.config_changes += counts.config_changes;
  sum.unavailable += counts.unavailable_key_seconds;
  sum.violations += counts.violations.size();
  constexpr std::size_t kShown = 3;
  for (std::size_t i = 0; i < std::min(kShown, counts.violations.size()); ++i) {
    std::cout << "seed " << seed << ": " << counts.violations[i] << '\n';
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::map<std::string, docopt::value> options =
      docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
  const auto seeds = bluebell::seed_range::Parse(options["--seeds"].asString());

  bluebell::run_options run;
  run.timing.domain_autonomy =
      std::chrono::milliseconds(options["--autonomy-ms"].asLong());
  if (options["--trace"].asBool()) {
    run.trace = &std::cout;
  }
  totals sum;
  std::atomic<std::uint64_t> next = seeds.first;
  std::vector<std::thread> threads;
  for (std::int64_t i = 0; i < options["--threads"].asLong(); ++i) {
    threads.emplace_back([&] {
      for (std::uint64_t seed = next++; seed <= seeds.last; seed = next++) {
        Add(sum, seed, bluebell::RunDecisions(seed, run));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::cout << "store writes " << sum.writes << ", served " << sum.served
            << ", configuration changes " << sum.config_changes
            << ", unavailable key-seconds per run "
            << sum.unavailable /
                   static_cast<double>(std::max<std::uint64_t>(1, sum.runs))
            << '\n'
            << "runs " << sum.runs << ", faults " << sum.faults << ", requests "
            << sum.requests << ", violations " << sum.violations << std::endl;
  return sum.violations == 0 ? 0 : 1;
}
