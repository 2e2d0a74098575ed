// Records when the most recent pings to a peer were sent. A message that echoes
// a ping was written after that ping was sent.
//
//   std::uint64_t ping = log.RecordSent(now);
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
  // Records a ping that is sent at `now` and returns its number. The first
  // number is 1.
  std::uint64_t RecordSent(instant now);

  // Nothing for numbers that were never used or are no longer recorded.
  std::optional<instant> SentAt(std::uint64_t ping) const;

 private:
  static constexpr std::size_t kCapacity = 64;

  std::array<instant, kCapacity> sent_at_{};
  std::uint64_t last_ping_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_MEMBERSHIP_PING_LOG_H_
