// Keeps a daemon's copy of the fleet's state up to date: reads all values of
// the platform's store once, then watches the store for changes, or follows a
// relay of its failure domain that does. All functions and the handlers run on
// the control thread.
//
//   store_watcher watcher(io, store, decoders, handlers);
//   watcher.Start();

#ifndef BLUEBELL_GATEWAY_STORE_WATCHER_H_
#define BLUEBELL_GATEWAY_STORE_WATCHER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/error.h"
#include "bluebell/core/store_era.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/change_log.h"
#include "bluebell/fleet/fleet_state.h"
#include "bluebell/fleet/fleet_update.h"
#include "bluebell/fleet/state_follower.h"
#include "bluebell/gateway/expected_revisions.h"
#include "bluebell/gateway/watch_guard.h"
#include "bluebell/keyspace/key_table.h"
#include "bluebell/wire/wire_message.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class kv_client;

// A duty of the daemon that determines which changes of the store it watches
// and how soon it needs them, in ascending order.
enum class watch_duty {
  kNone,
  // Hands changes on to the other daemons of its failure domain.
  kRelay,
  // Dispatches a service without keys.
  kDispatcher,
  // Second in the dispatcher order of a keyed service: would take over from the
  // dispatcher, and therefore watches the key tables.
  kCoordinatorStandby,
  // Assigns the keys of keyed services and dispatches their requests.
  kCoordinator,
};

// Functions that a store_watcher calls.
struct watcher_handlers {
  // The state has changed.
  std::function<void(const fleet_state& state)> on_change;
  // Sends a message to another daemon. It may be lost.
  std::function<void(const address& to, const wire_message& message)> send;
  // A watch didn't deliver a change and is replaced. May be empty.
  std::function<void(const silent_watch& silent)> on_silent_watch = nullptr;
};

class store_watcher {
 public:
  store_watcher(boost::asio::io_context& io,
                kv_client& store,
                fleet_decoders decoders,
                watcher_handlers handlers);
  store_watcher(const store_watcher&) = delete;
  store_watcher& operator=(const store_watcher&) = delete;
  ~store_watcher() = default;

  void Start();

  // Other classes report here how their calls to the store ended, since a watch
  // that waits for changes doesn't notice an outage. Such a watch may have lost
  // its connection, so the first success after a failure starts a new read of
  // the whole store.
  void ReportSuccess(instant now);
  void ReportFailure(const error& cause, instant now);
  // Daemons with a duty watch the store. Those without follow the relays, after
  // some time and if there are any.
  void SetDuty(watch_duty duty);
  void SetRelays(std::vector<address> relays);
  // While this daemon watches the store, these confirm its state.
  void SetConfirmingPeers(std::vector<address> peers);

  // Messages of daemons that follow this one, and of the relay that it follows.
  void OnUpdateRequest(const address& from,
                       const fleet_update_request& request);
  void OnUpdate(const address& from, const fleet_update& update);

  // The store's era in which this daemon has last read all keys. Zero before.
  store_era read_era() const { return EraOf(read_revision_); }
  // False from a failed call to the store until the next successful one.
  bool store_is_available() const { return !failing_since_; }
  // When the last successful call to the store ended.
  instant last_success_at() const { return last_success_at_; }

  // This daemon has written the key table, which the store has at `revision`.
  // The watch returns it only later.
  void OnTableWritten(const service_name& service,
                      const key_table& table,
                      const store_version& revision);

  // The endpoint has stated that it is leaving; see fleet_state.
  void RecordLeaving(const endpoint_instance& endpoint);
  // Another daemon has seen the store's `revision`. Reads the whole store again
  // if the watches don't deliver that revision within a bounded time.
  void ExpectRevision(std::uint64_t revision);
  // The same for the latest change of an endpoint that another daemon has seen.
  // The watch of the endpoints may be silent while the others go on.
  void ExpectEndpointsRevision(std::uint64_t revision);

  const fleet_state& state() const { return state_; }

 private:
  // The keys of one watch, and how long it pauses after a change.
  struct watch_scope {
    std::string prefix;
    milliseconds pause_after_change{0};
  };

  // The watches that the present duty needs.
  std::vector<watch_scope> WatchScopes() const;
  // Reads the whole store, with retries, then starts the watches. Ends early if
  // Restart() is called.
  boost::asio::awaitable<void> Run();
  // Returns the revision of the listing; nothing if it failed or is outdated.
  boost::asio::awaitable<std::optional<store_version>> ReadAll(
      std::uint64_t generation);
  boost::asio::awaitable<void> Watch(std::uint64_t generation,
                                     watch_scope scope,
                                     store_version after);
  // The store has come back from an older copy: ends all watches and the
  // following of a relay, and reads everything anew after a random delay.
  void OnEraRise(store_era era);
  // Called after each successful call. True if an outage has just ended.
  bool EndOutage(instant now);
  // Reads the whole store again and replaces the watches.
  void Restart();
  // Restarts after an unexpected error of that generation, unless a later one
  // has replaced it.
  void RestartAfter(std::uint64_t failed_generation);
  // Replaces the watches by those of the present duty. `table_position` is the
  // revision up to which the key tables are known, for a duty that needs them.
  void StartWatches(store_version table_position);
  boost::asio::awaitable<void> Pause(milliseconds time);
  // The pause before the next read of the store after one that failed.
  milliseconds NextRetryPause();
  // Takes in changes of the keys with `prefix`, all up to `up_to`.
  void ApplyChanges(std::string_view prefix,
                    const std::vector<kv_event>& events,
                    store_version up_to,
                    instant now);
  watch_guard_handlers GuardHandlers();
  // Takes in changes that another path than the watch has shown. False if they
  // are left to the watch.
  bool TakeShownChanges(std::string_view prefix,
                        const std::vector<kv_event>& events,
                        store_version up_to,
                        std::string_view source);
  // Logs malformed values and endpoints that have left service, calls the
  // change handler and sets the lapse timer. `source` says in the log where the
  // change came from.
  void NotifyChanged(std::string_view source);
  void LogEvacuations(std::string_view source);
  void LogDepartures(std::string_view source);
  // Sets the timer that drops the endpoints whose entries stayed missing.
  void ScheduleLapse();

  bool MayFollow(instant now) const;
  void StartFollowing(instant now);
  // Watches the store again, from the present positions.
  void StopFollowing(std::string_view reason);
  // Asks a relay if that is due, and sets the timer for the next time.
  void Follow();
  void SetFollowTimer(instant time);

  boost::asio::io_context& io_;
  kv_client& store_;
  std::string endpoint_prefix_;
  std::string operator_prefix_;
  fleet_state state_;
  // What this daemon can hand on, and its positions in the store's changes.
  change_log log_;
  watcher_handlers handlers_;
  std::optional<instant> failing_since_;
  // Both need members above.
  expected_revisions expected_;
  watch_guard guard_;
  // Another daemon has received changes of the store during the present outage.
  bool peer_saw_changes_ = false;
  watch_duty duty_ = watch_duty::kNone;
  std::vector<address> relays_;
  state_follower follower_;
  // True while this daemon follows a relay instead of watching the store.
  bool following_ = false;
  // True if the watches deliver all changes, so that others may follow.
  bool watching_ = false;
  // The earliest time at which this daemon may begin to follow, and how long it
  // waits with that after relays have failed it.
  instant follow_after_;
  milliseconds follow_delay_;
  instant last_success_at_;
  // The revision of the latest listing.
  store_version read_revision_;
  // No listing starts before this time.
  instant next_read_;
  milliseconds retry_pause_{0};
  std::minstd_rand random_;
  boost::asio::steady_timer follow_timer_;
  boost::asio::steady_timer lapse_timer_;
  // Increases with each Restart(). Coroutines of an earlier generation end when
  // they see another number.
  std::uint64_t generation_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_STORE_WATCHER_H_
