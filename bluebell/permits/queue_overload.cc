#include "bluebell/permits/queue_overload.h"

namespace bluebell {

namespace {

// The overload ends when a request has to wait less than this part of what its
// objective allows. With refusals the wait stays close to what is allowed, so
// that a higher limit would end the overload with every other request.
constexpr int kEndDivisor = 2;

}  // namespace

void queue_overload::Record(duration wait, duration allowed, instant now) {
  if (wait > allowed && !above_since_) {
    above_since_ = now;
    // A burst that is worked off within the time that requests may wait delays
    // few others.
    delay_ = allowed;
  } else if (wait < allowed / kEndDivisor) {
    above_since_.reset();
  }
}

bool queue_overload::IsOverloaded(instant now) const {
  return above_since_ && now - *above_since_ >= delay_;
}

}  // namespace bluebell
