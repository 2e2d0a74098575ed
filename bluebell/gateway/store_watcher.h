// Keeps a daemon's copy of the fleet's state up to date from the platform's
// store: reads all values once, then watches for changes. All functions and the
// change handler run on the control thread.
//
//   store_watcher watcher(io, store, decoders, [](const fleet_state&) { ... });
//   watcher.Start();

#ifndef BLUEBELL_GATEWAY_STORE_WATCHER_H_
#define BLUEBELL_GATEWAY_STORE_WATCHER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/error.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_state.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class kv_client;

// A duty of the daemon that determines which changes of the store it watches
// and how soon it needs them, in ascending order.
enum class watch_duty {
  kNone,
  // Dispatches a service without keys.
  kDispatcher,
  // Second in the dispatcher order of a keyed service: would take over from the
  // dispatcher, and therefore watches the key tables.
  kCoordinatorStandby,
  // Assigns the keys of keyed services and dispatches their requests.
  kCoordinator,
};

class store_watcher {
 public:
  using change_handler = std::function<void(const fleet_state& state)>;

  store_watcher(boost::asio::io_context& io,
                kv_client& store,
                fleet_decoders decoders,
                change_handler on_change);
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
  // Daemons with a duty get changes earlier but make more calls to the store. A
  // change of the duty starts a new read of the whole store.
  void SetDuty(watch_duty duty);

  // False from a failed call to the store until the next successful one.
  bool store_is_available() const { return !failing_since_; }

  // The endpoint has stated that it is leaving; see fleet_state.
  void RecordLeaving(const endpoint_instance& endpoint);
  // Another daemon has seen the store's `revision`. Reads the whole store again
  // if the watches don't deliver that revision within a bounded time.
  void ExpectRevision(std::uint64_t revision);

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
  // Called after each successful call. True if an outage has just ended.
  bool EndOutage(instant now);
  // Reads the whole store again and replaces the watches.
  void Restart();
  // Restarts after an unexpected error of that generation, unless a later one
  // has replaced it.
  void RestartAfter(std::uint64_t failed_generation);
  boost::asio::awaitable<void> Pause(milliseconds time);
  // Logs malformed values, calls the change handler and sets the lapse timer.
  void NotifyChanged();
  void CheckExpectation();
  // Sets the timer that drops the endpoints whose entries stayed missing.
  void ScheduleLapse();

  boost::asio::io_context& io_;
  kv_client& store_;
  std::string endpoint_prefix_;
  std::string config_key_;
  fleet_state state_;
  change_handler on_change_;
  std::optional<instant> failing_since_;
  std::uint64_t expected_revision_ = 0;
  // Another daemon has received changes of the store during the present outage.
  bool peer_saw_changes_ = false;
  watch_duty duty_ = watch_duty::kNone;
  boost::asio::steady_timer expectation_timer_;
  boost::asio::steady_timer lapse_timer_;
  // Increases with each Restart(). Coroutines of an earlier generation end when
  // they see another number.
  std::uint64_t generation_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_STORE_WATCHER_H_
