// Notices that a watch of the platform's store is silent: its connection stays
// open and delivers nothing. Decides when the store is asked for the changes of
// a watch's keys on another connection, and when the watches are replaced
// because one of them didn't deliver a change that another path has shown. What
// other watches deliver says nothing about a watch, not even a later revision.
// Does no I/O. Not thread-safe.
//
//   watch_monitor monitor({{"op/config", limits}});
//   monitor.Begin(0, position, now);
//   monitor.OnShown(0, revision, watch_witness::kPeer, now);
//   watch_action next = monitor.Next(now);

#ifndef BLUEBELL_FLEET_WATCH_MONITOR_H_
#define BLUEBELL_FLEET_WATCH_MONITOR_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/revision_expectation.h"
#include "bluebell/fleet/state_follower.h"

namespace bluebell {

// What has shown a change that a watch didn't deliver.
enum class watch_witness : std::uint8_t { kPeer, kStore };

// Text for logs and metrics, for example "peer".
std::string_view Describe(watch_witness witness);

// Ask the store for the changes of these keys, on a connection of its own.
struct check_store {
  std::size_t scope = 0;

  friend bool operator==(const check_store&, const check_store&) = default;
};

// Replace the watches: the one of these keys has missed a change.
struct replace_watches {
  std::size_t scope = 0;
  // Since the watch last returned, or was started.
  duration silent_for{0};
  watch_witness shown_by = watch_witness::kPeer;

  friend bool operator==(const replace_watches&,
                         const replace_watches&) = default;
};

using watch_action = std::variant<check_store, replace_watches, wait_until>;

class watch_monitor {
 public:
  struct scope_limits {
    std::string prefix;
    // How long the state of these keys may be unconfirmed before the store is
    // asked: alone, and while another daemon is asked to confirm it.
    milliseconds max_unconfirmed{0};
    milliseconds max_unconfirmed_with_peers{0};
  };

  // While its call is open, a watch has this long to deliver a change that
  // another path has shown. The store responds within a few hundred
  // milliseconds when it is slow.
  static constexpr milliseconds kMaxDelivery{500};
  // The time from a failed check to the next one.
  static constexpr milliseconds kCheckRetryPause{500};
  // The least time from one replacement to the next. The calls of replaced
  // watches stay open for up to 31 s, and only so many may be open at a time.
  static constexpr milliseconds kMinReplaceInterval{4'000};

  explicit watch_monitor(std::vector<scope_limits> scopes);

  // The watch of these keys starts at the revision `position`.
  void Begin(std::size_t scope, const store_version& position, instant now);
  // The watch has returned all changes up to `position`, and calls the store
  // again after `pause`.
  void OnDelivered(std::size_t scope,
                   const store_version& position,
                   milliseconds pause,
                   instant now);
  // Another path has shown a change of these keys at `revision`. May be late or
  // repeated.
  void OnShown(std::size_t scope,
               const store_version& revision,
               watch_witness witness,
               instant now);
  // The state of these keys was that of the store at `time`.
  void OnConfirmed(std::size_t scope, instant time);
  // The check has ended, whether or not it confirmed the state.
  void OnCheckEnd(std::size_t scope, instant now);
  // Whether another daemon is asked to confirm the state.
  void SetHasPeers(bool has_peers) { has_peers_ = has_peers; }

  // What to do now. Call it again after each of the calls above, after each
  // action, and when a wait has ended.
  watch_action Next(instant now);

  instant confirmed_at(std::size_t scope) const {
    return scopes_[scope].confirmed_at;
  }
  // Up to where the watch itself has delivered.
  store_version delivered(std::size_t scope) const {
    return scopes_[scope].delivered;
  }
  const std::string& prefix(std::size_t scope) const {
    return scopes_[scope].limits.prefix;
  }
  std::size_t scope_count() const { return scopes_.size(); }

 private:
  struct watched_scope {
    scope_limits limits;
    // Up to where the watch itself has delivered, and when it last returned.
    store_version delivered;
    instant delivered_at;
    // When its present call begins or began.
    instant open_at;
    instant confirmed_at;
    store_version latest_shown;
    revision_expectation shown{kMaxDelivery};
    watch_witness witness = watch_witness::kPeer;
    bool checking = false;
    // No check begins before this time.
    instant check_after;
  };

  static revision_expectation::covers_function Covers(
      const watched_scope& scope);

  std::vector<watched_scope> scopes_;
  bool has_peers_ = false;
  instant replace_after_;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_WATCH_MONITOR_H_
