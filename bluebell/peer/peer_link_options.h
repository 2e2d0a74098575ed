// Timeouts and limits of a link to another daemon.

#ifndef BLUEBELL_PEER_PEER_LINK_OPTIONS_H_
#define BLUEBELL_PEER_PEER_LINK_OPTIONS_H_

#include <cstddef>

#include "bluebell/core/time.h"

namespace bluebell {

struct peer_link_options {
  milliseconds connect_timeout{500};
  // Interval of the probes that are sent while an answer is due.
  milliseconds probe_interval{150};
  // A connection is closed if nothing arrives on it for this time while an
  // answer to a request or a probe is due.
  milliseconds silence_timeout{500};
  // The delay after a failed connection attempt. It doubles with each further
  // failure, up to the maximum.
  milliseconds min_backoff{20};
  milliseconds max_backoff{1'000};
  // A connection that is unused for this time is closed. Shorter than
  // kServerIdleTimeout, so that the server doesn't close a connection while a
  // request is in flight.
  milliseconds idle_timeout{60'000};
  // The limit of bytes that wait to be sent.
  std::size_t max_backlog_bytes = 32U << 20U;

  friend bool operator==(const peer_link_options&,
                         const peer_link_options&) = default;
};

// A server closes a connection that is unused for this time.
inline constexpr milliseconds kServerIdleTimeout{180'000};

}  // namespace bluebell

#endif  // BLUEBELL_PEER_PEER_LINK_OPTIONS_H_
