#include "bluebell/membership/ping_log.h"

namespace bluebell {

std::uint64_t ping_log::Next(instant now) {
  ++last_;
  sent_.at(last_ % kRemembered) = now;
  return last_;
}

std::optional<instant> ping_log::SentAt(std::uint64_t ping) const {
  if (ping == 0 || ping > last_ || ping + kRemembered <= last_) {
    return std::nullopt;
  }
  return sent_.at(ping % kRemembered);
}

}  // namespace bluebell
