#include "bluebell/gateway/expected_revisions.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/fleet_state.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

// Longer than the longest pause of a watch, after which a change arrives.
constexpr milliseconds kExpectationTimeout{1'900};

}  // namespace

expected_revisions::expected_revisions(boost::asio::io_context& io,
                                       const fleet_state& state,
                                       std::function<void()> on_overdue)
    : state_(state),
      on_overdue_(std::move(on_overdue)),
      any_(kExpectationTimeout),
      endpoints_(kExpectationTimeout),
      timer_(io) {}

void expected_revisions::Expect(std::uint64_t revision) {
  ExpectIn(any_, revision, Covers());
}

void expected_revisions::ExpectEndpoints(std::uint64_t revision) {
  ExpectIn(endpoints_, revision, CoversEndpoints());
}

void expected_revisions::ExpectIn(
    revision_expectation& expectation,
    std::uint64_t revision,
    const revision_expectation::covers_function& covers) {
  const auto earlier_due = expectation.due();
  expectation.Expect(store_version(revision), covers, BootNow());
  if (expectation.due() != earlier_due) {
    Schedule();
  }
}

revision_expectation::covers_function expected_revisions::Covers() const {
  return [this](const store_version& asked) { return state_.Covers(asked); };
}

revision_expectation::covers_function expected_revisions::CoversEndpoints()
    const {
  return [this](const store_version& asked) {
    return state_.CoversEndpoints(asked);
  };
}

void expected_revisions::Schedule() {
  std::optional<instant> next = any_.due();
  if (const auto due = endpoints_.due()) {
    next = next ? std::min(*next, *due) : *due;
  }
  if (!next) {
    return;
  }
  timer_.expires_after(std::max<duration>(*next - BootNow(), milliseconds(1)));
  timer_.async_wait([this](boost::system::error_code cancelled) {
    if (!cancelled) {
      Check();
    }
  });
}

void expected_revisions::Check() {
  const instant now = BootNow();
  const bool is_overdue = any_.IsOverdue(Covers(), now);
  const bool endpoints_are_overdue =
      endpoints_.IsOverdue(CoversEndpoints(), now);
  Schedule();
  if (!is_overdue && !endpoints_are_overdue) {
    return;
  }
  log_event(log_level::kWarn, "watch is behind other daemons")
      .With("revision", state_.snapshot().revision)
      .With("endpoints_revision", state_.snapshot().endpoints_revision)
      .With("endpoints", endpoints_are_overdue)
      .Write();
  on_overdue_();
}

}  // namespace bluebell
