#include "bluebell/permits/wait_queue.h"

#include <string>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));

bool AnyRank(std::uint32_t /*rank*/) {
  return true;
}

bool Any(const waiting_request& /*request*/) {
  return true;
}

waiting_request Request(std::uint64_t number,
                        std::uint32_t rank,
                        duration objective,
                        duration deadline = seconds(10)) {
  waiting_request request;
  request.ask.id = {1, number};
  request.ask.rank = rank;
  request.objective = kStart + objective;
  request.deadline = kStart + deadline;
  request.work = milliseconds(100);
  return request;
}

std::uint64_t NumberOf(const std::optional<waiting_request>& request) {
  return request ? request->ask.id.number : 0;
}

TEST_CASE("ranks go first, then those on time, then the order of arrival") {
  wait_queue queue;
  queue.Push(Request(1, 1, seconds(5)));
  queue.Push(Request(2, 0, milliseconds(10)));
  queue.Push(Request(3, 0, seconds(5)));
  queue.Push(Request(4, 0, seconds(5)));
  const instant now = kStart + milliseconds(50);
  CHECK(NumberOf(queue.TakeNext(now, AnyRank, Any)) == 3);
  CHECK(NumberOf(queue.TakeNext(now, AnyRank, Any)) == 4);
  CHECK(NumberOf(queue.TakeNext(now, AnyRank, Any)) == 2);
  CHECK(NumberOf(queue.TakeNext(now, AnyRank, Any)) == 1);
  CHECK(!queue.TakeNext(now, AnyRank, Any));
  CHECK(queue.empty());
}

TEST_CASE("a rank that may not start is passed over as a whole") {
  wait_queue queue;
  queue.Push(Request(1, 0, seconds(5)));
  queue.Push(Request(2, 1, seconds(5)));
  const auto not_first = [](std::uint32_t rank) { return rank > 0; };
  CHECK(NumberOf(queue.TakeNext(kStart, not_first, Any)) == 2);
  CHECK(!queue.TakeNext(kStart, not_first, Any));
  CHECK(queue.size() == 1);
}

// The pattern: endpoints are slow for seconds, thousands of requests have
// missed their objective, and each free slot goes to one that hasn't.
TEST_CASE("a decision doesn't look through all that wait") {
  constexpr std::uint64_t kLate = 10'000;
  wait_queue queue;
  for (std::uint64_t i = 1; i <= kLate; ++i) {
    queue.Push(Request(i, 0, milliseconds(10)));
  }
  queue.Push(Request(kLate + 1, 0, seconds(5)));
  const instant now = kStart + seconds(1);
  int considered = 0;
  const auto count = [&](const waiting_request& /*request*/) {
    ++considered;
    return true;
  };
  CHECK(NumberOf(queue.TakeNext(now, AnyRank, count)) == kLate + 1);
  CHECK(NumberOf(queue.TakeNext(now, AnyRank, count)) == 1);
  CHECK(considered == 2);
  CHECK(queue.Contains({1, kLate}));
  CHECK(queue.Remove({1, kLate}));
  CHECK(!queue.Contains({1, kLate}));
}

TEST_CASE("hopeless requests leave when their time has come") {
  wait_queue queue;
  queue.Push(Request(1, 0, seconds(1), seconds(3)));
  queue.Push(Request(2, 1, seconds(1), seconds(2)));
  REQUIRE(queue.NextHopeless());
  CHECK(*queue.NextHopeless() ==
        Request(2, 1, seconds(1), seconds(2)).HopelessAt());
  CHECK(queue.TakeHopeless(kStart).empty());
  const auto gone = queue.TakeHopeless(kStart + seconds(2));
  REQUIRE(gone.size() == 1);
  CHECK(gone.front().ask.id.number == 2);
  CHECK(queue.WorkBefore(1) == milliseconds(100));
  CHECK(queue.TakeAll().size() == 1);
  CHECK(!queue.NextHopeless());
  CHECK(queue.WorkBefore(1) == duration(0));
}

}  // namespace
}  // namespace bluebell
