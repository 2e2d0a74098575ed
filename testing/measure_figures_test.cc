#include "testing/measure_figures.h"

#include <catch2/catch.hpp>

#include "testing/load_plan.h"
#include "testing/load_report.h"

namespace bluebell {
namespace {

load_plan OneStream() {
  load_plan plan;
  plan.length = seconds(10);
  plan.streams.resize(1);
  plan.streams[0].service = "tracker";
  plan.streams[0].deadline = milliseconds(100);
  return plan;
}

load_record At(milliseconds intended, milliseconds took, load_outcome outcome) {
  load_record record;
  record.key = "k";
  record.outcome = outcome;
  record.intended = intended;
  record.ended = intended + took;
  return record;
}

TEST_CASE("late answers count from the intended time and not as in time") {
  const load_report report{
      {At(milliseconds(0), milliseconds(50), load_outcome::kAnswer),
       At(milliseconds(1), milliseconds(900), load_outcome::kAnswer),
       At(milliseconds(2), milliseconds(5), load_outcome::kNotRun),
       At(milliseconds(3), milliseconds(5), load_outcome::kNoReply)}};
  const load_figures figures = FiguresOf(OneStream(), report, 0);
  CHECK(figures.sent == 4);
  CHECK(figures.answers == 2);
  CHECK(figures.in_time_share == Approx(0.25));
  CHECK(figures.p50_ms == Approx(50));
  CHECK(figures.p99_ms == Approx(900));
}

TEST_CASE("a key counts as unavailable until it is answered or the run ends") {
  const load_report report{
      {At(seconds(1), milliseconds(1), load_outcome::kNotRun),
       At(seconds(2), milliseconds(1), load_outcome::kNoReply),
       At(seconds(3), milliseconds(1), load_outcome::kAnswer),
       At(seconds(9), milliseconds(1), load_outcome::kUnknown)}};
  CHECK(UnavailableKeySeconds(OneStream(), report) == Approx(3.0));
}

TEST_CASE("an endpoint without load counts in the imbalance") {
  const std::vector<execution> executions = {
      {"a", "k", "tracker", "e1", 1, 1, 100, 200},
      {"b", "l", "tracker", "e2", 1, 1, 100, 200}};
  CHECK(KeyImbalance(executions, "tracker", 4) == Approx(2.0));
}

TEST_CASE("a load plan with a mistake is refused, not sent in part") {
  CHECK(ParseLoadPlan(R"({"targets":["127.0.0.1:1"],
                          "streams":[{"service":"tracker"}]})")
            .has_value());
  for (const char* text :
       {R"({"targets":["localhost:1"],"streams":[]})", R"({"streams":[]})",
        R"({"targets":["127.0.0.1:1"],"streams":[{"rank":"urgent"}]})",
        R"({"targets":["127.0.0.1:1"],
            "streams":[{"service":"a","distribution":"normal"}]})"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseLoadPlan(text).has_value());
  }
}

}  // namespace
}  // namespace bluebell
