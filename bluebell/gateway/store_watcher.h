// Keeps a daemon's state of the fleet up to date from the platform's store.
// Lives on the control thread.
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

// Why a daemon needs the store's changes soon.
enum class watch_duty {
  kNone,
  // Gives out the slots of endpoints.
  kDispatcher,
  // Would take over the dispatching of a keyed service: follows key tables.
  kKeysStandby,
  // Assigns keys, and dispatches by them.
  kKeys,
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

  // How a call of another part to the store ended: shows outages that a waiting
  // watch doesn't. A watch that waited through one may have lost its
  // connection, so the store is read anew.
  void NoteSuccess(instant now);
  void NoteFailure(const error& why, instant now);
  // Daemons with a duty hear of changes earlier, at the price of more calls.
  void SetDuty(watch_duty duty);

  bool store_is_well() const { return !failing_since_; }

  // Another daemon knows the state of `revision`. Reads everything anew if the
  // watch doesn't get there by itself.
  void ExpectRevision(std::uint64_t revision);

  const fleet_state& state() const { return state_; }

 private:
  // What one watch covers.
  struct watched {
    std::string prefix;
    milliseconds pause_after_change{0};
  };

  std::vector<watched> Watched() const;
  // Reads all, then watches, until another reading has begun.
  boost::asio::awaitable<void> Run();
  // The revision of the listing.
  boost::asio::awaitable<std::optional<store_version>> ReadAll(
      std::uint64_t reading);
  boost::asio::awaitable<void> Watch(std::uint64_t reading,
                                     watched what,
                                     store_version after);
  // True if there was an outage.
  bool EndOutage(instant now);
  void Restart();
  boost::asio::awaitable<void> Pause(milliseconds time);
  void Changed();
  void CheckExpectation();
  void ScheduleLapse();

  boost::asio::io_context& io_;
  kv_client& store_;
  std::string endpoint_prefix_;
  std::string config_key_;
  fleet_state state_;
  change_handler on_change_;
  std::optional<instant> failing_since_;
  std::uint64_t expected_revision_ = 0;
  // During an outage another daemon has heard of changes.
  bool others_ahead_ = false;
  watch_duty duty_ = watch_duty::kNone;
  boost::asio::steady_timer expectation_;
  boost::asio::steady_timer lapse_;
  // Counts the readings; an older one ends without effect.
  std::uint64_t reading_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_STORE_WATCHER_H_
