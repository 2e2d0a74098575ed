#include "testing/execution_check.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace bluebell {

namespace {

using run_counts = std::map<std::string, std::uint32_t>;

run_counts CountRuns(const std::vector<execution>& executions) {
  run_counts counts;
  for (const execution& run : executions) {
    ++counts[run.id];
  }
  return counts;
}

std::uint32_t RunsOf(const run_counts& counts, const std::string& id) {
  const auto found = counts.find(id);
  return found == counts.end() ? 0 : found->second;
}

std::string Describe(const load_plan& plan, const load_record& record) {
  return plan.streams[record.stream].name + " " + record.id + " key " +
         record.key + " ended as " + ToString(record.outcome) + " (" +
         record.reason + ")";
}

}  // namespace

std::vector<std::string> FindDoubleRuns(
    const load_plan& plan,
    const load_report& report,
    const std::vector<execution>& executions) {
  const run_counts counts = CountRuns(executions);
  std::vector<std::string> faults;
  for (const load_record& record : report.records) {
    const std::uint32_t runs = RunsOf(counts, record.id);
    if (!plan.streams[record.stream].idempotent && runs > 1) {
      faults.push_back(Describe(plan, record) + " ran " + std::to_string(runs) +
                       " times");
    }
  }
  return faults;
}

std::vector<std::string> FindFalseOutcomes(
    const load_plan& plan,
    const load_report& report,
    const std::vector<execution>& executions) {
  const run_counts counts = CountRuns(executions);
  std::vector<std::string> faults;
  for (const load_record& record : report.records) {
    const std::uint32_t runs = RunsOf(counts, record.id);
    const bool contradicted =
        (record.outcome == load_outcome::kNotRun && runs > 0) ||
        (record.outcome == load_outcome::kAnswer && runs == 0) ||
        record.outcome == load_outcome::kForeignReply;
    if (contradicted) {
      faults.push_back(Describe(plan, record) + " and ran " +
                       std::to_string(runs) + " times");
    }
  }
  return faults;
}

std::vector<std::string> FindSharedKeys(
    const std::vector<execution>& executions) {
  struct ownership {
    std::uint64_t at = 0;
    std::string owner;
  };
  std::map<std::pair<std::string, std::string>, ownership> owners;
  std::vector<std::string> faults;
  for (const execution& run : executions) {
    if (run.at == 0) {
      continue;
    }
    const std::string owner = run.endpoint + "/" + std::to_string(run.run);
    // Without a key the request id decides who owns a request.
    const std::string owned = run.key.empty() ? run.id : run.key;
    ownership& known = owners[{run.service, owned}];
    if (run.at > known.at) {
      known = {run.at, owner};
    } else if (run.at < known.at || owner != known.owner) {
      faults.push_back(run.service + " " + run.key + " ran at " + owner +
                       " under epoch " + std::to_string(run.at) + " after " +
                       known.owner + " under " + std::to_string(known.at));
    }
  }
  return faults;
}

std::vector<std::string> FindFaults(const load_plan& plan,
                                    const load_report& report,
                                    const std::vector<execution>& executions) {
  std::vector<std::string> faults = FindDoubleRuns(plan, report, executions);
  for (const auto& more : {FindFalseOutcomes(plan, report, executions),
                           FindSharedKeys(executions)}) {
    faults.insert(faults.end(), more.begin(), more.end());
  }
  return faults;
}

}  // namespace bluebell
