// Bounds of a link to another daemon.

#ifndef BLUEBELL_PEER_PEER_LINK_OPTIONS_H_
#define BLUEBELL_PEER_PEER_LINK_OPTIONS_H_

#include <cstddef>

#include "bluebell/core/time.h"

namespace bluebell {

struct peer_link_options {
  milliseconds connect_timeout{500};
  // While an answer is due, the other end is probed this often.
  milliseconds probe_interval{150};
  // A connection on which nothing arrives for this long, while an answer or a
  // probe is due, is abandoned.
  milliseconds silence{500};
  // The wait after a failed connection attempt; doubles up to the maximum.
  milliseconds min_backoff{20};
  milliseconds max_backoff{1'000};
  // An unused connection is closed. Shorter than the server's kServerIdle, so
  // that the server doesn't close a connection on which a request is under
  // way.
  milliseconds idle{60'000};
  // Bytes that may wait to be sent.
  std::size_t max_backlog_bytes = 32U << 20U;

  friend bool operator==(const peer_link_options&,
                         const peer_link_options&) = default;
};

inline constexpr milliseconds kServerIdle{180'000};

}  // namespace bluebell

#endif  // BLUEBELL_PEER_PEER_LINK_OPTIONS_H_
