#include "testing/gateway/promise_check.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));

sent_request Request(const std::string& id, bool idempotent = false) {
  sent_request request;
  request.id = id;
  request.idempotent = idempotent;
  request.process = 1;
  request.sent = kStart;
  request.ended = kStart + milliseconds(50);
  request.status = 200;
  request.signature = "s-" + id;
  request.body = "b-" + id;
  return request;
}

request_execution Execution(const std::string& id) {
  return {id,
          "i-1",
          "booker",
          kStart + milliseconds(10),
          kStart + milliseconds(40),
          200,
          "s-" + id,
          "b-" + id,
          std::nullopt,
          0};
}

soak_record Record() {
  soak_record record;
  record.healed = kStart + seconds(20);
  record.ended = kStart + seconds(30);
  return record;
}

TEST_CASE("a request that ran once and got its answer breaks nothing") {
  soak_record record = Record();
  record.requests = {Request("a")};
  record.executions = {Execution("a")};
  CHECK(FindBrokenPromises(record).empty());
}

TEST_CASE("only idempotent requests may run twice") {
  soak_record record = Record();
  record.requests = {Request("a"), Request("b", true)};
  record.executions = {Execution("a"), Execution("a"), Execution("b"),
                       Execution("b")};
  CHECK(FindRepeats(record).size() == 1);
}

// An endpoint that runs a request again after its key was elsewhere seems to
// have worked on it all the while.
TEST_CASE("a request doesn't run again where its key was before") {
  soak_record record = Record();
  record.requests = {Request("a", true)};
  record.executions = {Execution("a"), Execution("a")};
  record.executions[1].begun = kStart + milliseconds(300);
  for (request_execution& each : record.executions) {
    each.key = 50;
  }
  record.handovers = {{"i-2", {0, 99}, kStart + milliseconds(200)}};
  CHECK(FindWorkAcrossHolds(record).size() == 1);

  SECTION("unless only other keys moved") {
    record.handovers[0].range = {51, 99};
    CHECK(FindWorkAcrossHolds(record).empty());
  }
  SECTION("unless the endpoint itself got its grant again") {
    record.handovers[0].endpoint = "i-1";
    CHECK(FindWorkAcrossHolds(record).empty());
  }
  SECTION("unless the key moved before or after both") {
    record.handovers[0].taken = kStart;
    CHECK(FindWorkAcrossHolds(record).empty());
    record.handovers[0].taken = kStart + seconds(1);
    CHECK(FindWorkAcrossHolds(record).empty());
  }
  SECTION("unless it runs at the other endpoint") {
    record.executions[1].endpoint = "i-2";
    CHECK(FindWorkAcrossHolds(record).empty());
  }
  SECTION("unless the first process has ended") {
    record.executions[1].life = 1;
    CHECK(FindWorkAcrossHolds(record).empty());
  }
}

TEST_CASE("a refusal of a request that ran is found, also if it ran later") {
  soak_record record = Record();
  record.requests = {Request("a")};
  record.requests[0].status = 503;
  record.requests[0].signature.clear();
  CHECK(FindFalseRefusals(record).empty());
  record.executions = {Execution("a")};
  record.executions[0].begun = kStart + seconds(9);
  CHECK(FindFalseRefusals(record).size() == 1);
  record.requests[0].status = 502;
  CHECK(FindFalseRefusals(record).empty());
}

TEST_CASE("answers that are cut, changed or another request's are found") {
  soak_record record = Record();
  record.requests = {Request("a"), Request("b"), Request("c"), Request("d")};
  record.executions = {Execution("a"), Execution("b"), Execution("c"),
                       Execution("d")};
  record.requests[0].body = "b";
  record.requests[1].signature = "s-a";
  record.requests[2].status = 500;
  record.requests[3].answered_id = "d";
  CHECK(FindForeignAnswers(record).size() == 3);
  record.requests[3].answered_id = "a";
  CHECK(FindForeignAnswers(record).size() == 4);
}

TEST_CASE("a request that was passed on isn't cut by planned work") {
  soak_record record = Record();
  record.requests = {Request("a"), Request("b"), Request("c")};
  for (sent_request& each : record.requests) {
    each.status = 0;
    each.signature.clear();
  }
  record.executions = {Execution("a"), Execution("b")};
  // Its caller gave up by itself.
  record.requests[1].ended = kStart + seconds(2);
  CHECK(FindPlannedCuts(record).size() == 1);
  record.disturbances = {{kStart - seconds(2), kStart - seconds(1)}};
  CHECK(FindPlannedCuts(record).empty());
}

TEST_CASE("a configuration that was replaced long ago isn't used") {
  soak_record record = Record();
  record.configs = {{1, "booker", kStart - seconds(20)},
                    {2, "manifest", kStart - seconds(10)}};
  record.requests = {Request("a", true)};
  record.requests[0].on_moved_route = true;
  record.executions = {Execution("a")};
  CHECK(FindOldConfigurations(record).size() == 1);
  record.configs[1].confirmed = kStart - seconds(1);
  CHECK(FindOldConfigurations(record).empty());
}

TEST_CASE("a process doesn't go back to an older configuration") {
  soak_record record = Record();
  record.configs = {{1, "booker", kStart - seconds(1)},
                    {2, "manifest", kStart - milliseconds(500)}};
  record.requests = {Request("a", true), Request("b", true)};
  record.requests[0].on_moved_route = true;
  record.requests[1].on_moved_route = true;
  record.requests[1].sent = kStart + milliseconds(400);
  record.executions = {Execution("a"), Execution("b")};
  record.executions[0].service = "manifest";
  CHECK(FindOldConfigurations(record).size() == 1);
  // Another process may not have heard of it yet.
  record.requests[1].process = 2;
  CHECK(FindOldConfigurations(record).empty());
}

// A process that still has version 1 sends requests where version 3 does, too.
TEST_CASE("a route that moved back tells nothing of later versions") {
  soak_record record = Record();
  record.configs = {{1, "booker", kStart - seconds(9)},
                    {2, "manifest", kStart - milliseconds(500)},
                    {3, "booker", kStart - milliseconds(100)}};
  record.requests = {Request("a", true), Request("b", true)};
  record.requests[0].on_moved_route = true;
  record.requests[1].on_moved_route = true;
  record.requests[1].sent = kStart + milliseconds(400);
  record.executions = {Execution("a"), Execution("b")};
  record.executions[1].service = "manifest";
  CHECK(FindOldConfigurations(record).empty());
}

TEST_CASE("requests are served again after the faults have ended") {
  soak_record record = Record();
  for (int i = 0; i < 100; ++i) {
    sent_request request = Request(std::to_string(i), true);
    request.sent = record.healed + seconds(5);
    request.ended = request.sent + milliseconds(20);
    request.status = i < 80 ? 200 : 503;
    record.requests.push_back(request);
  }
  CHECK(FindMissingRecovery(record).size() == 1);
  for (sent_request& each : record.requests) {
    each.status = 200;
  }
  CHECK(FindMissingRecovery(record).empty());
}

TEST_CASE("arrivals after an announced leaving count in calm times only") {
  soak_record record = Record();
  record.late_arrivals = {{"a", "i-1", kStart, kStart + milliseconds(2'300)}};
  CHECK(FindLateArrivals(record).size() == 1);
  record.disturbances = {{kStart + seconds(1), kStart + seconds(2)}};
  CHECK(FindLateArrivals(record).empty());
}

// Guards against late arrivals that are excused by a disturbance which ended
// long before them.
TEST_CASE("an arrival counts if the calm before it was long enough") {
  soak_record record = Record();
  record.disturbances = {{kStart, kStart + seconds(5)}};
  record.late_arrivals = {{"a", "i-1", kStart, kStart + milliseconds(7'900)}};
  CHECK(FindLateArrivals(record).empty());
  record.late_arrivals = {{"a", "i-1", kStart, kStart + milliseconds(8'100)}};
  CHECK(FindLateArrivals(record).size() == 1);
}

}  // namespace
}  // namespace bluebell
