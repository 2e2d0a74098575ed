#include "bluebell/http/delivery_monitor.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <variant>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

constexpr milliseconds kStep{250};
constexpr milliseconds kLimit{20'000};
// The user timeout of a peer that has just acknowledged something.
constexpr milliseconds kLeastUserTimeout{3'000};
const instant kStart = instant() + std::chrono::hours(1);

// A connection whose peer takes nothing, with the kernel's window probes.
class stalled_connection {
 public:
  stalled_connection() { monitor.OnWriteBegun(kStart + kLimit, kStart); }

  // The peer answers the probes until `lost_at`. Returns the first verdict
  // other than that the delivery continues, and sets `now` to its time.
  delivery_verdict RunUntilEnd(instant lost_at) {
    while (true) {
      now += kStep;
      SendProbes(lost_at);
      delivery_sample sample;
      sample.undelivered_bytes = 9'000;
      sample.awaits_ack = last_probe_ && *last_probe_ > last_ack_;
      sample.repeats = last_probe_.has_value();
      sample.since_last_ack = now - last_ack_;
      const delivery_verdict verdict = monitor.Observe(sample, now);
      const auto* continues = std::get_if<delivery_continues>(&verdict);
      if (continues == nullptr) {
        return verdict;
      }
      user_timeout = continues->user_timeout;
    }
  }

  delivery_monitor monitor;
  instant now = kStart;
  milliseconds user_timeout = kPeerSilenceTimeout;
  // The kernel has ended the connection since the user timeout was over.
  std::optional<instant> ended_by_kernel;

 private:
  // Like the kernel: at growing intervals, but no later than the end of the
  // user timeout, which counts from the first probe.
  void SendProbes(instant lost_at) {
    while (next_probe_ <= now && !ended_by_kernel) {
      const instant at = next_probe_;
      const instant counted_from = first_probe_.value_or(at);
      if (at - counted_from >= user_timeout) {
        ended_by_kernel = at;
        return;
      }
      first_probe_ = counted_from;
      last_probe_ = at;
      if (at < lost_at) {
        last_ack_ = at;
      }
      next_probe_ =
          std::min<instant>(at + interval_, counted_from + user_timeout);
      interval_ *= 2;
    }
  }

  instant last_ack_ = kStart;
  std::optional<instant> first_probe_;
  std::optional<instant> last_probe_;
  instant next_probe_ = kStart + milliseconds(200);
  milliseconds interval_{400};
};

// Failure: the connection of a caller that read its response slowly was ended
// after 2.5 s, as if the caller were gone.
TEST_CASE("a peer that answers window probes keeps its connection") {
  stalled_connection stalled;
  CHECK(stalled.RunUntilEnd(kStart + std::chrono::hours(1)) ==
        delivery_verdict(delivery_overdue()));
  CHECK(!stalled.ended_by_kernel);
  CHECK(stalled.now == kStart + kLimit);
}

// Failure: a peer that is lost while it reads slowly is noticed much later than
// one that is lost at another time.
TEST_CASE("a peer that is lost while its window is closed is noticed") {
  const milliseconds lost_after =
      GENERATE(milliseconds(0), milliseconds(700), milliseconds(3'000),
               milliseconds(7'500), milliseconds(12'300));
  CAPTURE(lost_after.count());
  const instant lost_at = kStart + lost_after;
  stalled_connection stalled;
  CHECK(stalled.RunUntilEnd(lost_at) == delivery_verdict(peer_silent()));
  const instant noticed =
      std::min(stalled.ended_by_kernel.value_or(stalled.now), stalled.now);
  CHECK(noticed - lost_at <= kPeerSilenceTimeout + 2 * kStep);
}

TEST_CASE("a peer that doesn't acknowledge sent segments is silent") {
  delivery_monitor monitor;
  monitor.OnWriteBegun(kStart + kLimit, kStart);
  // The last acknowledgment is older than the write.
  delivery_sample sample{1'000, true, false, std::chrono::minutes(1)};
  CHECK(std::holds_alternative<delivery_continues>(
      monitor.Observe(sample, kStart + kStep)));
  sample.repeats = true;
  CHECK(std::holds_alternative<delivery_continues>(
      monitor.Observe(sample, kStart + milliseconds(2'250))));
  CHECK(monitor.Observe(sample, kStart + kPeerSilenceTimeout) ==
        delivery_verdict(peer_silent()));
}

// Failure: a probe that was sent shortly before an observation counts as
// unanswered.
TEST_CASE("a peer has time to answer a probe") {
  delivery_monitor monitor;
  monitor.OnWriteBegun(kStart + kLimit, kStart);
  delivery_sample sample{1'000, false, true, milliseconds(2'600)};
  const instant now = kStart + milliseconds(2'600);
  CHECK(
      std::holds_alternative<delivery_continues>(monitor.Observe(sample, now)));
  sample.awaits_ack = true;
  sample.since_last_ack += kStep;
  CHECK(std::holds_alternative<delivery_continues>(
      monitor.Observe(sample, now + kStep)));
  sample.since_last_ack += milliseconds(750);
  CHECK(monitor.Observe(sample, now + kStep + milliseconds(750)) ==
        delivery_verdict(peer_silent()));
}

TEST_CASE("the user timeout grows with the stall and falls back") {
  delivery_monitor monitor;
  monitor.OnWriteBegun(kStart + kLimit, kStart);
  delivery_sample sample{1'000, false, true, milliseconds(0)};
  CHECK(monitor.Observe(sample, kStart + seconds(4)) ==
        delivery_verdict(delivery_continues{seconds(4) + kLeastUserTimeout}));
  // The window has opened, so that the kernel counts anew.
  sample.repeats = false;
  CHECK(monitor.Observe(sample, kStart + seconds(5)) ==
        delivery_verdict(delivery_continues{kLeastUserTimeout}));
}

TEST_CASE("only bytes that wait for the peer are observed") {
  delivery_monitor monitor;
  CHECK(!monitor.active());
  monitor.OnWriteBegun(kStart + kLimit, kStart);
  CHECK(monitor.active());
  SECTION("the peer has room for all") {
    CHECK(monitor.OnWriteEnded(0));
  }
  SECTION("some wait in the kernel") {
    CHECK(!monitor.OnWriteEnded(5'000));
    CHECK(monitor.active());
    CHECK(monitor.Observe({}, kStart + kStep) ==
          delivery_verdict(delivery_complete()));
  }
  CHECK(!monitor.active());
}

}  // namespace
}  // namespace bluebell
