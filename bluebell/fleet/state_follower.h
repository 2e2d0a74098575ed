// Decides how a daemon keeps its state of the store up to date without watching
// the store: which relay it asks for changes and when, and when it has to turn
// to the store itself because no relay vouches for a recent state. Does no
// I/O. Not thread-safe.
//
// A relay vouches for the moment at which it was last in touch with the store.
// That it merely answers proves nothing.
//
//   state_follower follower;
//   follower.Start(relays, now);
//   follower_action next = follower.Next(now);
//   if (follower.OnUpdate(from, update, now)) { ... }

#ifndef BLUEBELL_FLEET_STATE_FOLLOWER_H_
#define BLUEBELL_FLEET_STATE_FOLLOWER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct fleet_update;

// Send a fleet_update_request with this number to the relay.
struct ask_relay {
  address relay;
  std::uint64_t number = 0;

  friend bool operator==(const ask_relay&, const ask_relay&) = default;
};

// Nothing to do until then.
struct wait_until {
  instant time;

  friend bool operator==(const wait_until&, const wait_until&) = default;
};

using follower_action = std::variant<ask_relay, wait_until>;

class state_follower {
 public:
  // How long a relay is given to answer.
  static constexpr milliseconds kReplyTimeout{250};
  static constexpr milliseconds kPollInterval{500};
  // The state may be unconfirmed for this long. All daemons must know within
  // 2 s that an endpoint has left.
  static constexpr milliseconds kMaxUnconfirmed{1'900};

  // Begins to follow. The state is that of the store at `now`. The first of
  // `relays` is preferred.
  void Start(std::vector<address> relays, instant now);
  // Replaces the relays; a request in flight stays valid if its relay remains.
  void SetRelays(std::vector<address> relays);

  // True if no relay vouches for a recent state, or the relays can't hand a
  // change on, so that the daemon has to watch the store itself.
  bool NeedsStore(instant now) const;
  // True if a change is too large for the relays' updates.
  bool misses_large_change() const { return misses_large_change_; }
  // What to do now. Call it again after each update and when a wait has ended.
  follower_action Next(instant now);
  // Takes note of an update. Returns true if it answers the latest request and
  // is confirmed, so that its changes are to be applied.
  bool OnUpdate(const address& from, const fleet_update& update, instant now);

  // When the state was certainly that of the store.
  instant confirmed_at() const { return confirmed_at_; }

 private:
  struct pending_request {
    address relay;
    std::uint64_t number = 0;
    instant sent_at;
  };

  // Asks the next relay at once.
  void ChangeRelay(instant now);

  std::vector<address> relays_;
  std::size_t current_ = 0;
  std::optional<pending_request> pending_;
  std::uint64_t last_number_ = 0;
  instant next_request_at_;
  instant confirmed_at_;
  bool misses_large_change_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_STATE_FOLLOWER_H_
