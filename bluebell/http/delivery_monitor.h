// Decides whether the peer of a connection is still there while it hasn't taken
// all bytes that were sent to it.
//
// A peer that reads slowly closes its receive window and goes on acknowledging
// the kernel's window probes. TCP_USER_TIMEOUT counts that time like the
// silence of a peer that is gone, so it has to be raised as long as
// acknowledgments arrive. The kernel sends the next probe before the user
// timeout ends, so the raised value also keeps the probes frequent enough to
// notice a peer that is lost later.
//
// An aggregate without I/O.
//
//   delivery_monitor monitor;
//   monitor.OnWriteBegun(now + kMaxDeliveryTime, now);
//   const delivery_verdict verdict = monitor.Observe(sample, now);

#ifndef BLUEBELL_HTTP_DELIVERY_MONITOR_H_
#define BLUEBELL_HTTP_DELIVERY_MONITOR_H_

#include <cstddef>
#include <optional>
#include <variant>

#include "bluebell/core/time.h"

namespace bluebell {

// A peer that has acknowledged nothing for this time is lost.
inline constexpr milliseconds kPeerSilenceTimeout{2'500};

// What the kernel knows of the bytes that were sent on a connection.
struct delivery_sample {
  // Bytes that the peer hasn't acknowledged, including those that wait for its
  // receive window.
  std::size_t undelivered_bytes = 0;
  // A segment or a window probe was sent and isn't acknowledged yet.
  bool awaits_ack = false;
  // The kernel repeats segments or window probes, and counts the time of the
  // user timeout.
  bool repeats = false;
  duration since_last_ack{0};

  friend bool operator==(const delivery_sample&,
                         const delivery_sample&) = default;
};

// The peer has acknowledged all bytes.
struct delivery_complete {
  friend bool operator==(const delivery_complete&,
                         const delivery_complete&) = default;
};
// The peer is there. TCP_USER_TIMEOUT has to be at least `user_timeout`.
struct delivery_continues {
  milliseconds user_timeout{0};

  friend bool operator==(const delivery_continues&,
                         const delivery_continues&) = default;
};
// The peer has been silent for kPeerSilenceTimeout.
struct peer_silent {
  friend bool operator==(const peer_silent&, const peer_silent&) = default;
};
// The peer hasn't taken the bytes by their deadline.
struct delivery_overdue {
  friend bool operator==(const delivery_overdue&,
                         const delivery_overdue&) = default;
};
using delivery_verdict = std::variant<delivery_complete,
                                      delivery_continues,
                                      peer_silent,
                                      delivery_overdue>;

class delivery_monitor {
 public:
  // A write begins. Its bytes, and those before them, have to be acknowledged
  // by `deadline`.
  void OnWriteBegun(instant deadline, instant now);
  // All bytes of the write were handed to the kernel. `unsent_bytes` of them
  // wait there for the peer's receive window. True if there is nothing left to
  // observe, since the peer has room for all bytes.
  bool OnWriteEnded(std::size_t unsent_bytes);
  // Called every few hundred milliseconds while active() is true.
  delivery_verdict Observe(const delivery_sample& sample, instant now);

  // True while bytes are written or wait for the peer's receive window.
  bool active() const { return active_; }

 private:
  bool active_ = false;
  bool writing_ = false;
  instant deadline_;
  // The kernel has counted the time of the user timeout since this time at the
  // earliest.
  instant stalled_since_;
  // The latest acknowledgment, or the begin of the observation.
  instant last_ack_;
  // Since when an acknowledgment is known to be awaited.
  std::optional<instant> awaits_ack_since_;
};

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_DELIVERY_MONITOR_H_
