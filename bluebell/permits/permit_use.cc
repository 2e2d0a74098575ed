#include "bluebell/permits/permit_use.h"

#include <chrono>

namespace bluebell {

std::int64_t ToSentAtMs(instant now) {
  return std::chrono::floor<milliseconds>(now.time_since_epoch()).count();
}

std::int64_t IssuedAtMs(const permit_request& request, duration held) {
  return request.sent_at_ms + std::chrono::floor<milliseconds>(held).count();
}

std::optional<instant> UseBy(const permit_granted& granted) {
  if (granted.use_within_ms == 0) {
    return std::nullopt;
  }
  return instant(milliseconds(granted.issued_at_ms) +
                 milliseconds(granted.use_within_ms));
}

}  // namespace bluebell
