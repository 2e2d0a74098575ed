#include "bluebell/proxy/attempt_history.h"

#include <string>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

// Runs one exchange whose response names `stated`.
void Exchange(attempt_history& history,
              const std::string& attempt,
              const std::string& stated,
              bool may_be_repeated = false) {
  REQUIRE(history.MayCarry(attempt));
  history.Begin(attempt);
  CHECK(history.Match(stated) != response_match::kOther);
  history.End(may_be_repeated);
}

TEST_CASE("a connection carries attempts with different ids one by one") {
  attempt_history history;
  for (int i = 0; i < 100; ++i) {
    Exchange(history, std::to_string(i), std::to_string(i));
  }
  CHECK(history.is_reusable());
}

// Guards against a copy of a rejection that is taken for the response to the
// next attempt of the same request.
TEST_CASE("a repeated attempt uses another connection than the one before") {
  attempt_history history;
  Exchange(history, "a", "a", true);
  CHECK_FALSE(history.MayCarry("a"));
  CHECK(history.MayCarry("b"));
  Exchange(history, "b", "b");
  CHECK_FALSE(history.MayCarry("a"));
}

// Guards against a copy of a rejection without an id that is taken for the
// response to the next request.
TEST_CASE("a connection ends with a response that names no attempt") {
  attempt_history history;
  Exchange(history, "a", "");
  CHECK_FALSE(history.is_reusable());
  CHECK_FALSE(history.MayCarry("b"));
}

TEST_CASE("a connection ends with an attempt that has no id") {
  attempt_history history;
  Exchange(history, "", "");
  CHECK_FALSE(history.is_reusable());
  attempt_history used;
  Exchange(used, "a", "a");
  CHECK_FALSE(used.MayCarry(""));
}

TEST_CASE("a response to another attempt is skipped and ends the connection") {
  attempt_history history;
  Exchange(history, "a", "a");
  history.Begin("b");
  CHECK(history.Match("a") == response_match::kOther);
  CHECK(history.Match("b") == response_match::kNamed);
  history.End(false);
  CHECK_FALSE(history.is_reusable());
}

TEST_CASE("a response without an id is the first's only on a new connection") {
  attempt_history history;
  history.Begin("a");
  CHECK(history.Match("") == response_match::kFirst);
  attempt_history used;
  Exchange(used, "a", "a");
  used.Begin("b");
  CHECK(used.Match("") == response_match::kUnnamed);
}

TEST_CASE("the number of remembered attempts is bounded") {
  attempt_history history;
  int carried = 0;
  while (history.is_reusable() && carried < 1'000) {
    const std::string id = std::to_string(carried++);
    Exchange(history, id, id, true);
  }
  CHECK(carried > 1);
  CHECK(carried < 100);
}

}  // namespace
}  // namespace bluebell
