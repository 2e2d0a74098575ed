#include "bluebell/dispatch/entry_admission.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kNow{seconds(100)};
const endpoint_instance kEndpoint{endpoint_id("e"), incarnation(1)};

queued_request Request(duration time_to_deadline, const char* caller = "a") {
  queued_request request;
  request.priority = rank::kNormal;
  request.caller = caller_name(caller);
  request.deadline = kNow + time_to_deadline;
  return request;
}

bool Passes(entry_admission& entry,
            const queued_request& request,
            instant now = kNow) {
  return std::holds_alternative<admitted>(entry.Check(kEndpoint, request, now));
}

queue_pressure Wait(milliseconds wait) {
  queue_pressure pressure;
  pressure.expected_wait[RankIndex(rank::kNormal)] = wait;
  return pressure;
}

TEST_CASE("what the dispatcher would refuse is rejected here, with a hint") {
  entry_admission entry;
  entry.ObservePressure(kEndpoint, Wait(milliseconds(800)), kNow);
  CHECK(Passes(entry, Request(seconds(1))));
  CHECK(Passes(entry, Request(milliseconds(500))));  // The probe.
  const admission verdict =
      entry.Check(kEndpoint, Request(milliseconds(500)), kNow);
  CHECK(verdict == admission(rejected{rejection_cause::kWouldMissDeadline,
                                      milliseconds(800)}));
}

TEST_CASE("an endpoint that has recovered gets requests again") {
  entry_admission entry;
  entry.ObservePressure(kEndpoint, Wait(milliseconds(60'000)), kNow);
  int passed = 0;
  for (int i = 0; i < 1'000; ++i) {
    const instant now = kNow + milliseconds(10 * i);
    queued_request request = Request(milliseconds(500));
    request.deadline = now + milliseconds(500);
    passed += Passes(entry, request, now) ? 1 : 0;
  }
  // One probe in each 500 ms of 10 s.
  CHECK(passed == 20);
  entry.ObservePressure(kEndpoint, Wait(milliseconds(0)), kNow);
  CHECK(Passes(entry, Request(milliseconds(500))));
}

TEST_CASE("the reported wait decreases with the age of the report") {
  entry_admission entry;
  entry.ObservePressure(kEndpoint, Wait(milliseconds(800)), kNow);
  CHECK(entry.ExpectedWait(kEndpoint, rank::kNormal,
                           kNow + milliseconds(300)) == milliseconds(500));
  CHECK(entry.ExpectedWait(kEndpoint, rank::kNormal, kNow + seconds(5)) ==
        duration(0));
}

TEST_CASE("a caller over its share is rejected here, others are not") {
  entry_admission entry;
  const rejected refusal{rejection_cause::kCallerOverShare, milliseconds(200)};
  entry.ObserveRefusal(kEndpoint, Request(seconds(1)), refusal, kNow);
  CHECK_FALSE(Passes(entry, Request(seconds(1))));
  CHECK(Passes(entry, Request(seconds(2))));
  CHECK(Passes(entry, Request(seconds(1), "b")));
  CHECK(Passes(entry, Request(seconds(1)), kNow + milliseconds(200)));
}

}  // namespace
}  // namespace bluebell
