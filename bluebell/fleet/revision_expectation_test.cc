#include "bluebell/fleet/revision_expectation.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
constexpr milliseconds kLimit{1'900};

// The state of a daemon, as far as a revision_expectation asks for it.
struct state_model {
  std::uint64_t revision = 0;

  revision_expectation::covers_function Covers() const {
    return [this](const store_version& asked) {
      return asked.value() <= revision;
    };
  }
};

TEST_CASE("a revision that isn't reached in time is overdue") {
  revision_expectation expectation(kLimit);
  state_model state{5};
  expectation.Expect(store_version(5), state.Covers(), kStart);
  CHECK(!expectation.due());
  expectation.Expect(store_version(6), state.Covers(), kStart);
  REQUIRE(expectation.due() == kStart + kLimit);
  CHECK(!expectation.IsOverdue(state.Covers(), kStart + kLimit / 2));
  CHECK(expectation.IsOverdue(state.Covers(), kStart + kLimit));
  CHECK(expectation.due() == kStart + 2 * kLimit);
}

// Guards against a daemon that reads the whole store again and again, although
// it is less than a second behind, because changes come all the time.
TEST_CASE("a daemon that keeps up with a delay is never overdue") {
  revision_expectation expectation(kLimit);
  state_model state;
  for (std::uint64_t step = 0; step < 1'000; ++step) {
    const instant now = kStart + static_cast<int>(step) * milliseconds(100);
    state.revision = step < 10 ? 0 : step - 10;
    expectation.Expect(store_version(step), state.Covers(), now);
    CHECK(!expectation.IsOverdue(state.Covers(), now));
  }
}

}  // namespace
}  // namespace bluebell
