#include "testing/gateway/key_holders.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
const instant kLater = kStart + milliseconds(2'040);

bool Grant(key_holders& holders,
           const std::string& holder,
           std::uint64_t fence,
           instant now,
           grant_timing timing = grant_timing::kPrompt) {
  return holders.Grant(
      holder,
      {{0, 99}, fence, now + seconds(2), now + milliseconds(2'040), timing},
      now);
}

TEST_CASE("keys that were released or ran out may be granted to another") {
  key_holders holders;
  CHECK(Grant(holders, "a/1", 1, kStart));
  holders.Release("a/1", {0, 99}, kStart);
  CHECK(Grant(holders, "b/1", 2, kStart));
  CHECK(Grant(holders, "c/1", 3, kLater));
  CHECK(holders.violations().empty());
  CHECK(holders.Holds("c/1", 50, kLater));
  CHECK(!holders.Holds("b/1", 50, kLater));
}

TEST_CASE("keys with two holders are found") {
  key_holders holders;
  Grant(holders, "a/1", 1, kStart);
  Grant(holders, "b/1", 2, kStart + seconds(1));
  CHECK(holders.violations().size() == 1);
}

TEST_CASE("a part that was released frees that part only") {
  key_holders holders;
  Grant(holders, "a/1", 1, kStart);
  holders.Release("a/1", {10, 19}, kStart);
  CHECK(holders.Holds("a/1", 9, kStart));
  CHECK(!holders.Holds("a/1", 10, kStart));
  CHECK(holders.Holds("a/1", 20, kStart));
}

TEST_CASE("a fence must rise when keys move") {
  key_holders holders;
  Grant(holders, "a/1", 2, kStart);
  Grant(holders, "b/1", 2, kLater);
  CHECK(holders.violations().size() == 1);
  // The same endpoint, started again, takes what was meant for its former
  // process.
  Grant(holders, "b/2", 2, kLater + milliseconds(2'040));
  CHECK(holders.violations().size() == 2);
}

// An endpoint whose clock is exact stops earlier than the slowest one may.
TEST_CASE("a hold counts as long as the slowest clock allows") {
  key_holders holders;
  Grant(holders, "a/1", 1, kStart);
  CHECK(!holders.Holds("a/1", 50, kStart + milliseconds(2'010)));
  Grant(holders, "b/1", 2, kStart + milliseconds(2'010));
  CHECK(holders.violations().size() == 1);
}

// A release ends the hold, and the keys were free to go although work on them
// went on.
TEST_CASE("keys that were released while work on them goes on are found") {
  key_holders holders;
  Grant(holders, "a/1", 1, kStart);
  holders.BeginWork("a/1", 1, 50);
  holders.Release("a/1", {0, 99}, kStart);
  Grant(holders, "b/1", 2, kStart + milliseconds(2'030));
  CHECK(holders.violations().size() == 1);
}

TEST_CASE("keys may be given on when the work on them has ended") {
  key_holders holders;
  Grant(holders, "a/1", 1, kStart);
  holders.BeginWork("a/1", 1, 50);
  holders.Release("a/1", {0, 99}, kStart);
  holders.EndWork("a/1", 1);
  Grant(holders, "b/1", 2, kStart);
  CHECK(holders.violations().empty());
}

TEST_CASE("work that outlasts its hold doesn't keep the keys") {
  key_holders holders;
  Grant(holders, "a/1", 1, kStart);
  holders.BeginWork("a/1", 1, 50);
  Grant(holders, "b/1", 2, kLater);
  CHECK(holders.violations().empty());
}

TEST_CASE("work on other keys and of a process that ended doesn't count") {
  key_holders holders;
  Grant(holders, "a/1", 1, kStart);
  holders.BeginWork("a/1", 1, 200);
  holders.Release("a/1", {0, 99}, kStart);
  Grant(holders, "b/1", 2, kStart);
  holders.BeginWork("b/1", 2, 50);
  holders.Forget("b/1");
  Grant(holders, "c/1", 3, kStart);
  CHECK(holders.violations().empty());
}

TEST_CASE("grants that were late or held up don't count beside work") {
  key_holders holders;
  Grant(holders, "a/1", 1, kStart);
  holders.BeginWork("a/1", 1, 50);
  holders.Release("a/1", {0, 99}, kStart);
  Grant(holders, "b/1", 2, kStart, grant_timing::kHeldUp);
  holders.Release("b/1", {0, 99}, kStart);
  Grant(holders, "c/1", 3, kStart, grant_timing::kTakenLate);
  CHECK(holders.violations().empty());
}

TEST_CASE("a holder refuses a fence below one that it knows") {
  key_holders holders;
  CHECK(Grant(holders, "a/1", 5, kStart));
  CHECK(!Grant(holders, "a/1", 4, kLater));
}

TEST_CASE("grants that were held up on their way may overlap") {
  key_holders holders;
  Grant(holders, "a/1", 1, kStart);
  Grant(holders, "b/1", 2, kStart, grant_timing::kHeldUp);
  CHECK(holders.violations().empty());
}

}  // namespace
}  // namespace bluebell
