#include "bluebell/dispatch/endpoint_queue.h"

#include <string>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart{seconds(100)};

policy_values Warm() {
  policy_values values;
  values.warm_up = milliseconds(0);
  return values;
}

endpoint_queue Queue(std::uint32_t slots,
                     const policy_values& values = Warm(),
                     const queue_policy& policy = ranked_policy{}) {
  return endpoint_queue::Make(slots, values, kStart, policy).value();
}

queued_request Request(std::uint64_t number,
                       rank priority = rank::kNormal,
                       const std::string& caller = "a",
                       duration budget = seconds(2)) {
  queued_request request;
  request.id = request_id::Make(wall_instant(seconds(1)), {0, number});
  request.priority = priority;
  request.caller = caller_name(caller);
  request.deadline = kStart + budget;
  request.submitted_at = kStart;
  return request;
}

bool IsAdmitted(const admission& verdict) {
  return std::holds_alternative<admitted>(verdict);
}

TEST_CASE("urgent work doesn't wait behind less urgent work") {
  endpoint_queue queue = Queue(1);
  REQUIRE(IsAdmitted(queue.Submit(Request(1, rank::kDeferrable), kStart)));
  REQUIRE(IsAdmitted(queue.Submit(Request(2, rank::kNormal), kStart)));
  REQUIRE(IsAdmitted(queue.Submit(Request(3, rank::kUrgent), kStart)));
  CHECK(queue.StartNext(kStart)->id == Request(3).id);
  CHECK_FALSE(queue.StartNext(kStart));
}

TEST_CASE("no more requests run than there are slots") {
  const queue_policy policy =
      GENERATE(queue_policy(ranked_policy{}), queue_policy(fifo_policy{}));
  endpoint_queue queue = Queue(2, Warm(), policy);
  for (std::uint64_t i = 0; i < 5; ++i) {
    REQUIRE(IsAdmitted(queue.Submit(Request(i), kStart)));
  }
  CHECK(queue.StartNext(kStart));
  const auto second = queue.StartNext(kStart);
  REQUIRE(second);
  CHECK_FALSE(queue.StartNext(kStart));
  queue.Finish(second->id, failed{}, kStart);
  CHECK(queue.StartNext(kStart));
}

TEST_CASE("a request that can't start in time is refused with a hint") {
  endpoint_queue queue = Queue(1);
  admission last = admitted{};
  std::uint64_t count = 0;
  while (IsAdmitted(last)) {
    REQUIRE(count < 200);
    last = queue.Submit(Request(++count, rank::kNormal, "a", milliseconds(400)),
                        kStart);
  }
  CHECK(std::get<rejected>(last).cause == rejection_cause::kWouldMissDeadline);
  CHECK(std::get<rejected>(last).retry_after > milliseconds(0));
  CHECK(IsAdmitted(queue.Submit(
      Request(1'000, rank::kDeferrable, "a", seconds(3'000)), kStart)));
}

TEST_CASE("expired requests are returned and never started") {
  endpoint_queue queue = Queue(1);
  REQUIRE(IsAdmitted(
      queue.Submit(Request(1, rank::kNormal, "a", milliseconds(100)), kStart)));
  const auto wakeup = queue.next_wakeup(kStart);
  REQUIRE(wakeup);
  CHECK(queue.TakeExpired(*wakeup - duration(1)).empty());
  CHECK_FALSE(queue.StartNext(*wakeup));
  REQUIRE(queue.TakeExpired(*wakeup).size() == 1);
  CHECK(queue.TakeExpired(*wakeup).empty());
}

TEST_CASE("a wrong estimate doesn't reject requests with short deadlines") {
  endpoint_queue queue = Queue(1);
  REQUIRE(IsAdmitted(queue.Submit(Request(1), kStart)));
  REQUIRE(queue.StartNext(kStart));
  queue.Finish(Request(1).id, completed{seconds(10)}, kStart);
  REQUIRE(IsAdmitted(
      queue.Submit(Request(2, rank::kNormal, "a", milliseconds(50)), kStart)));
  CHECK(queue.StartNext(kStart));
}

TEST_CASE("a withdrawn request doesn't start") {
  endpoint_queue queue = Queue(1);
  REQUIRE(IsAdmitted(queue.Submit(Request(1), kStart)));
  CHECK(queue.Withdraw(Request(1).id));
  CHECK_FALSE(queue.Withdraw(Request(1).id));
  CHECK_FALSE(queue.StartNext(kStart));
}

TEST_CASE("one caller can't fill the queue so that others are rejected") {
  endpoint_queue queue = Queue(1);
  for (std::uint64_t i = 0; i < 300; ++i) {
    queue.Submit(Request(i, rank::kNormal, "flood", seconds(60)), kStart);
  }
  CHECK(IsAdmitted(
      queue.Submit(Request(900, rank::kNormal, "other", seconds(60)), kStart)));
  REQUIRE(queue.StartNext(kStart));
  queue.Finish(Request(0).id, completed{milliseconds(10)},
               kStart + milliseconds(10));
  CHECK(queue.StartNext(kStart + milliseconds(10))->caller ==
        caller_name("other"));
}

TEST_CASE("an endpoint in its warm-up doesn't get its full load at once") {
  policy_values values;
  values.warm_up = milliseconds(1'000);
  endpoint_queue queue = Queue(6, values);
  CHECK(queue.pressure(kStart).slots == 1);
  CHECK(queue.pressure(kStart + milliseconds(500)).slots == 3);
  CHECK(queue.pressure(kStart + milliseconds(1'000)).slots == 6);
}

TEST_CASE("an endpoint that sheds isn't sent the rest of the queue at once") {
  endpoint_queue queue = Queue(2);
  for (std::uint64_t i = 0; i < 3; ++i) {
    REQUIRE(IsAdmitted(queue.Submit(Request(i), kStart)));
  }
  const auto first = queue.StartNext(kStart);
  const auto second = queue.StartNext(kStart);
  REQUIRE(second);
  queue.Finish(second->id, shed{}, kStart);
  CHECK_FALSE(queue.StartNext(kStart));
  queue.Finish(first->id, shed{}, kStart);
  CHECK_FALSE(queue.StartNext(kStart));
  const auto wakeup = queue.next_wakeup(kStart);
  REQUIRE(wakeup);
  CHECK(queue.StartNext(*wakeup));
}

TEST_CASE("an endpoint that shed a request gets all its slots back") {
  endpoint_queue queue = Queue(2);
  REQUIRE(IsAdmitted(queue.Submit(Request(0), kStart)));
  REQUIRE(queue.StartNext(kStart));
  queue.Finish(Request(0).id, shed{}, kStart);
  CHECK(queue.pressure(kStart).slots == 1);
  instant now = kStart;
  for (std::uint64_t i = 1; i < 100; ++i) {
    now += milliseconds(20);
    queued_request request = Request(i);
    request.deadline = now + seconds(1);
    REQUIRE(IsAdmitted(queue.Submit(request, now)));
    REQUIRE(queue.StartNext(now));
    queue.Finish(request.id, completed{milliseconds(10)}, now);
  }
  CHECK(queue.pressure(now).slots == 2);
}

}  // namespace
}  // namespace bluebell
