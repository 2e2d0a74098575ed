#include "bluebell/membership/ping_log.h"

namespace bluebell {

std::uint64_t ping_log::RecordSent(instant now) {
  ++last_ping_;
  sent_at_.at(last_ping_ % kCapacity) = now;
  return last_ping_;
}

std::optional<instant> ping_log::SentAt(std::uint64_t ping) const {
  if (ping == 0 || ping > last_ping_ || ping + kCapacity <= last_ping_) {
    return std::nullopt;
  }
  return sent_at_.at(ping % kCapacity);
}

}  // namespace bluebell
