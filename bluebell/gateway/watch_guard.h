// Keeps a daemon's state of the configuration and of the daemons current while
// it watches the store, even if a watch is silent: asks another daemon of the
// failure domain for its changes, asks the store on a connection of its own if
// nothing confirms the state, and has silent watches replaced. All functions
// and handlers run on the control thread.
//
//   watch_guard guard(io, store, log, {config_key, daemon_prefix},
//                     handlers);
//   guard.BeginWatch(prefix, position, now);
//   guard.OnDelivered(prefix, up_to, pause, now);

#ifndef BLUEBELL_GATEWAY_WATCH_GUARD_H_
#define BLUEBELL_GATEWAY_WATCH_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/state_follower.h"
#include "bluebell/fleet/watch_monitor.h"
#include "bluebell/kv/kv_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class change_log;
class kv_client;
struct fleet_update;
struct fleet_update_request;

// A watch that didn't deliver a change.
struct silent_watch {
  // The prefix of its keys.
  std::string watch;
  duration silent_for{0};
  watch_witness shown_by = watch_witness::kPeer;
  // Up to where it has delivered.
  store_version position;
};

// Functions that a watch_guard calls.
struct watch_guard_handlers {
  // The changes of the keys with `prefix` up to `up_to` are known. `source`
  // says in the log where they came from. Returns true if the state contains
  // them now.
  std::function<bool(std::string_view prefix,
                     const std::vector<kv_event>& events,
                     store_version up_to,
                     std::string_view source)>
      on_changes;
  // The watches are to be replaced.
  std::function<void(const silent_watch& silent)> on_silent;
  // The store no longer has the changes after the state's positions.
  std::function<void()> on_history_lost;
  // False during an outage, in which the store isn't asked.
  std::function<bool()> store_is_available;
  // Sends a message to another daemon. It may be lost.
  std::function<void(const address& to, const fleet_update_request& request)>
      send;
};

class watch_guard {
 public:
  // `log` holds the positions of the state.
  watch_guard(boost::asio::io_context& io,
              kv_client& store,
              const change_log& log,
              std::string config_key,
              std::string daemon_prefix,
              watch_guard_handlers handlers);
  watch_guard(const watch_guard&) = delete;
  watch_guard& operator=(const watch_guard&) = delete;
  ~watch_guard() = default;

  // The watch of the keys with `prefix` starts after `position`. All watches
  // are started before the next call of another function.
  void BeginWatch(std::string_view prefix,
                  const store_version& position,
                  instant now);
  // All watches have ended.
  void End();
  // The watch of the keys with `prefix` has returned, and calls the store again
  // after `pause`.
  void OnDelivered(std::string_view prefix,
                   const store_version& position,
                   milliseconds pause,
                   instant now);
  // The state of all keys was that of the store at `time`.
  void OnConfirmed(instant time);
  // The daemons that confirm the state of others; none for a daemon that is one
  // of them.
  void SetPeers(std::vector<address> peers);
  void OnUpdate(const address& from, const fleet_update& update);

  // When the state of the configuration was certainly that of the store.
  instant confirmed_at() const;

 private:
  // Does what is due and sets the timer.
  void Advance();
  void SetTimer(instant time, instant now);
  // Asks a peer if that is due. Returns when to call it again.
  instant AskPeers(instant now);
  void Replace(const replace_watches& replace);
  void StartCheck(std::size_t scope);
  boost::asio::awaitable<void> Check(std::size_t scope);

  boost::asio::io_context& io_;
  kv_client& store_;
  const change_log& log_;
  watch_guard_handlers handlers_;
  watch_monitor monitor_;
  std::vector<address> peers_;
  state_follower asking_;
  boost::asio::steady_timer timer_;
  bool active_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_WATCH_GUARD_H_
