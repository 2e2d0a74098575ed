// Until when the holder of a permit may use it. A permit for a cold endpoint
// that is used late would add to the requests of the next second.
//
// The bound counts from the issue of the permit, not from its receipt, since a
// message may be delayed. The clocks of two daemons aren't comparable: the
// dispatcher states the issue by the clock of the holder.

#ifndef BLUEBELL_PERMITS_PERMIT_USE_H_
#define BLUEBELL_PERMITS_PERMIT_USE_H_

#include <cstdint>
#include <optional>

#include "bluebell/core/time.h"
#include "bluebell/permits/permit_message.h"

namespace bluebell {

// The time as stated in permit_request::sent_at_ms, rounded down.
std::int64_t ToSentAtMs(instant now);

// Returns the issue of a permit for the request by its holder's clock, if it is
// issued `held` after the request was received; see
// permit_granted::issued_at_ms.
std::int64_t IssuedAtMs(const permit_request& request, duration held);

// Returns until when the permit may be used; nullopt if there is no bound.
std::optional<instant> UseBy(const permit_granted& granted);

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_PERMIT_USE_H_
