#include "bluebell/proxy/shutdown_window.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

constexpr instant kStart{seconds(1'000)};

// Guards against responses that arrive after the exit, or while the process is
// being killed.
TEST_CASE("responses are due before the exit, and the exit before the kill") {
  const shutdown_window window = shutdown_window::Begin(kStart, seconds(6));
  CHECK(window.began_at() == kStart);
  CHECK(window.exit_at() < kStart + seconds(6));
  CHECK(window.answer_by() < window.exit_at());
}

// Guards against a request that is sent to an endpoint and then cut.
TEST_CASE("a request is sent only if its response is probably there in time") {
  const shutdown_window window = shutdown_window::Begin(kStart, seconds(6));
  const milliseconds expected(900);
  for (const bool idempotent : {true, false}) {
    CHECK(window.HasTimeFor(expected, idempotent, kStart));
    CHECK_FALSE(
        window.HasTimeFor(expected, idempotent, window.answer_by() - expected));
  }
  const instant late = window.answer_by() - 2 * expected;
  CHECK(window.HasTimeFor(expected, true, late));
  CHECK_FALSE(window.HasTimeFor(expected, false, late));
}

TEST_CASE("a grace shorter than its margins leaves no time") {
  const shutdown_window window =
      shutdown_window::Begin(kStart, milliseconds(100));
  CHECK(window.exit_at() == kStart);
  CHECK_FALSE(window.HasTimeFor(milliseconds(1), true, kStart));
}

}  // namespace
}  // namespace bluebell
