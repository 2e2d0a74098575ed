// Remembers when recent pings to a peer were sent, so that the echo of one
// bounds from below when the peer's message was written.
//
//   std::uint64_t ping = log.Next(now);
//   std::optional<instant> sent = log.SentAt(echoed_ping);

#ifndef BLUEBELL_MEMBERSHIP_PING_LOG_H_
#define BLUEBELL_MEMBERSHIP_PING_LOG_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "bluebell/core/time.h"

namespace bluebell {

class ping_log {
 public:
  // Numbers the ping that is sent at `now`. Numbers start at 1.
  std::uint64_t Next(instant now);

  // Nothing for pings never sent or too old to be remembered.
  std::optional<instant> SentAt(std::uint64_t ping) const;

 private:
  static constexpr std::size_t kRemembered = 64;

  std::array<instant, kRemembered> sent_{};
  std::uint64_t last_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_MEMBERSHIP_PING_LOG_H_
