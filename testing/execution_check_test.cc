#include "testing/execution_check.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

execution Ran(const std::string& id,
              const std::string& endpoint,
              std::uint64_t at) {
  return {id, "key", "tracker", endpoint, 1, at, 0, 0};
}

load_plan PlanWithOneStream() {
  load_plan plan;
  plan.streams.resize(1);
  plan.streams[0].idempotent = false;
  return plan;
}

load_report ReportOf(const std::string& id, load_outcome outcome) {
  load_report report;
  report.records.resize(1);
  report.records[0].id = id;
  report.records[0].outcome = outcome;
  return report;
}

TEST_CASE("a request that ran twice is found") {
  const load_report report = ReportOf("a", load_outcome::kAnswer);
  const std::vector<execution> twice = {Ran("a", "e1", 1), Ran("a", "e1", 1)};
  CHECK(FindDoubleRuns(PlanWithOneStream(), report, twice).size() == 1);
  CHECK(
      FindDoubleRuns(PlanWithOneStream(), report, {Ran("a", "e1", 1)}).empty());
}

TEST_CASE("an outcome that the executions contradict is found") {
  const std::vector<execution> ran = {Ran("a", "e1", 1)};
  const auto faults = [&](const std::string& id, load_outcome outcome) {
    return FindFalseOutcomes(PlanWithOneStream(), ReportOf(id, outcome), ran)
        .size();
  };
  CHECK(faults("a", load_outcome::kNotRun) == 1);
  CHECK(faults("b", load_outcome::kAnswer) == 1);
  CHECK(faults("a", load_outcome::kForeignReply) == 1);
  CHECK(faults("a", load_outcome::kAnswer) == 0);
  CHECK(faults("a", load_outcome::kUnknown) == 0);
  CHECK(faults("b", load_outcome::kNotRun) == 0);
}

TEST_CASE("a key with two owners is found") {
  CHECK(FindSharedKeys({Ran("a", "e1", 1), Ran("b", "e2", 1)}).size() == 1);
  CHECK(
      FindSharedKeys({Ran("a", "e1", 1), Ran("b", "e2", 2), Ran("c", "e1", 1)})
          .size() == 1);
  CHECK(
      FindSharedKeys({Ran("a", "e1", 1), Ran("b", "e2", 2), Ran("c", "e1", 3)})
          .empty());
}

}  // namespace
}  // namespace bluebell
