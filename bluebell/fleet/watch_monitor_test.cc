#include "bluebell/fleet/watch_monitor.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include <rapidcheck.h>
#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
constexpr milliseconds kMaxAge{700};
constexpr milliseconds kMaxAgeWithPeers{1'400};
constexpr milliseconds kPause{600};
constexpr std::size_t kConfig = 0;
constexpr std::size_t kDaemons = 1;
const store_version kPosition(10);

// Unconfirmed daemons' entries never cause a check here.
watch_monitor Started() {
  watch_monitor monitor({{"config", kMaxAge, kMaxAgeWithPeers},
                         {"daemons", seconds(9'000), seconds(9'000)}});
  for (const std::size_t scope : {kConfig, kDaemons}) {
    monitor.Begin(scope, kPosition, kStart);
    monitor.OnConfirmed(scope, kStart);
  }
  return monitor;
}

// Guards against a silent watch of the configuration that is hidden by the
// other watches: it stayed unnoticed for up to 31 s.
TEST_CASE("what another watch delivers says nothing about a watch") {
  watch_monitor monitor = Started();
  const store_version missed(11);
  monitor.OnShown(kConfig, missed, watch_witness::kPeer, kStart);
  monitor.OnDelivered(kDaemons, store_version(12), milliseconds(0), kStart);
  const instant due = kStart + watch_monitor::kMaxDelivery;
  CHECK(monitor.Next(kStart) == watch_action(wait_until{due}));
  monitor.OnConfirmed(kConfig, due);
  CHECK(monitor.Next(due) == watch_action(replace_watches{
                                 kConfig, due - kStart, watch_witness::kPeer}));
}

TEST_CASE("a watch that delivers during the time limit isn't replaced") {
  watch_monitor monitor = Started();
  monitor.OnDelivered(kConfig, store_version(11), kPause, kStart);
  monitor.OnShown(kConfig, store_version(12), watch_witness::kStore, kStart);
  const instant due = kStart + kPause + watch_monitor::kMaxDelivery;
  CHECK(monitor.Next(kStart) == watch_action(wait_until{kStart + kMaxAge}));
  monitor.OnDelivered(kConfig, store_version(12), kPause,
                      due - milliseconds(1));
  CHECK(std::holds_alternative<wait_until>(monitor.Next(due)));
  // Late and repeated.
  monitor.OnShown(kConfig, store_version(11), watch_witness::kPeer, due);
  CHECK(std::holds_alternative<wait_until>(monitor.Next(due)));
}

TEST_CASE("the store is asked once nothing has confirmed the state in time") {
  watch_monitor monitor = Started();
  const bool has_peers = GENERATE(false, true);
  monitor.SetHasPeers(has_peers);
  const instant due = kStart + (has_peers ? kMaxAgeWithPeers : kMaxAge);
  CHECK(monitor.Next(kStart) == watch_action(wait_until{due}));
  CHECK(monitor.Next(due) == watch_action(check_store{kConfig}));
  // One check at a time, and a pause after one that failed.
  CHECK(std::holds_alternative<wait_until>(monitor.Next(due)));
  monitor.OnCheckEnd(kConfig, due);
  CHECK(monitor.Next(due) ==
        watch_action(wait_until{due + watch_monitor::kCheckRetryPause}));
  monitor.OnConfirmed(kConfig, due);
  CHECK(!std::holds_alternative<check_store>(monitor.Next(due)));
}

// The calls to the store in a minute in which nothing changes. A peer's word is
// up to 0.7 s old and comes every 0.5 s.
int CallsPerMinute(bool has_peers) {
  watch_monitor monitor = Started();
  monitor.SetHasPeers(has_peers);
  int calls = 0;
  for (milliseconds now(0); now < seconds(60); now += milliseconds(10)) {
    if (has_peers && now.count() % 500 == 0) {
      monitor.OnConfirmed(kConfig, kStart + now - kMaxAge);
    }
    if (std::holds_alternative<check_store>(monitor.Next(kStart + now))) {
      ++calls;
      monitor.OnConfirmed(kConfig, kStart + now);
      monitor.OnCheckEnd(kConfig, kStart + now);
    }
  }
  return calls;
}

// Guards against daemons that all ask the store, whose calls are limited.
TEST_CASE("a daemon whose peer confirms its state doesn't ask the store") {
  CHECK(CallsPerMinute(true) == 0);
  CHECK(CallsPerMinute(false) == 85);
}

// A daemon's watch of the configuration, the store, and peers that may be
// silent, in steps of 10 ms.
class silent_watch_run {
 public:
  silent_watch_run()
      : silent_at_(Any(0, 6'000)),
        peer_silent_at_(Any(0, 6'000)),
        monitor_(Started()) {
    monitor_.SetHasPeers(*rc::gen::arbitrary<bool>());
  }

  void Play() {
    constexpr milliseconds kLength{12'000};
    milliseconds next_change(Any(0, 3'000));
    milliseconds next_notice(0);
    for (milliseconds now(0); now < kLength; now += kStep) {
      if (now >= next_change) {
        changes_.emplace_back(now, store_version(++revision_));
        next_change = now + milliseconds(Any(10, 3'000));
      }
      // Another watch goes on all the while.
      monitor_.OnDelivered(kDaemons, store_version(++revision_),
                           milliseconds(0), kStart + now);
      Deliver(now);
      if (now >= next_notice) {
        // What a peer knew some time ago; it may come again later.
        const milliseconds age(Any(0, 400));
        const milliseconds seen = std::min(now, peer_silent_at_) - age;
        Show(seen, watch_witness::kPeer, now);
        next_notice = now + milliseconds(Any(10, 700));
      }
      Act(now);
      Check(now);
    }
  }

 private:
  static constexpr milliseconds kStep{10};
  static constexpr milliseconds kMaxCallTime{200};

  static int Any(int from, int to) { return *rc::gen::inRange(from, to); }

  store_version LastChange(milliseconds until) const {
    store_version last = kPosition;
    for (const auto& [time, revision] : changes_) {
      last = time <= until ? revision : last;
    }
    return last;
  }

  void Deliver(milliseconds now) {
    const store_version last = LastChange(now);
    if (now < open_at_ || now >= silent_at_ || last <= delivered_) {
      return;
    }
    // Takes up to kMaxCallTime.
    if (Any(0, 10) > 0 && now - open_at_ < kMaxCallTime) {
      return;
    }
    delivered_ = last;
    known_ = std::max(known_, last);
    open_at_ = now + kPause;
    monitor_.OnDelivered(kConfig, store_version(revision_), kPause,
                         kStart + now);
  }

  void Show(milliseconds seen, watch_witness witness, milliseconds now) {
    const store_version last = LastChange(seen);
    known_ = std::max(known_, last);
    if (last > kPosition) {
      monitor_.OnShown(kConfig, last, witness, kStart + now);
    }
    monitor_.OnConfirmed(kConfig, kStart + seen);
  }

  void Act(milliseconds now) {
    if (check_ends_ && now >= *check_ends_) {
      check_ends_.reset();
      monitor_.OnCheckEnd(kConfig, kStart + now);
      Show(check_began_, watch_witness::kStore, now);
    }
    const watch_action action = monitor_.Next(kStart + now);
    if (std::holds_alternative<check_store>(action)) {
      check_began_ = now;
      check_ends_ = now + milliseconds(Any(0, kMaxCallTime.count()));
    } else if (std::holds_alternative<replace_watches>(action)) {
      // Only a silent watch is replaced.
      RC_ASSERT(now >= silent_at_);
      replaced_ = true;
    }
  }

  void Check(milliseconds now) const {
    const milliseconds bound = kMaxAgeWithPeers + kMaxCallTime + 2 * kStep;
    RC_ASSERT(known_ >= LastChange(now - bound));
    const milliseconds notice_bound =
        bound + watch_monitor::kMaxDelivery + kStep;
    const bool must_have_noticed = now >= silent_at_ + kPause + notice_bound &&
                                   LastChange(now - notice_bound) > delivered_;
    RC_ASSERT(replaced_ || !must_have_noticed);
  }

  milliseconds silent_at_;
  milliseconds peer_silent_at_;
  watch_monitor monitor_;
  std::uint64_t revision_ = kPosition.value();
  std::vector<std::pair<milliseconds, store_version>> changes_;
  store_version delivered_ = kPosition;
  // What the daemon's state contains.
  store_version known_ = kPosition;
  milliseconds open_at_{0};
  milliseconds check_began_{0};
  std::optional<milliseconds> check_ends_;
  bool replaced_ = false;
};

// Guards against a configuration that isn't in force in time, and against
// watches that are replaced although they work.
TEST_CASE("random silent watches, late and repeated notices") {
  CHECK(rc::check("a change is known in time",
                  [] { silent_watch_run().Play(); }));
}

}  // namespace
}  // namespace bluebell
