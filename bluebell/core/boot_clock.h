// The monotonic clock that also advances while the host is suspended
// (CLOCK_BOOTTIME). Times of leases and grants are kept on it, because other
// processes let them expire during a suspension.

#ifndef BLUEBELL_CORE_BOOT_CLOCK_H_
#define BLUEBELL_CORE_BOOT_CLOCK_H_

#include "bluebell/core/time.h"

namespace bluebell {

// The present time. Don't compare it with times of std::chrono::steady_clock.
instant BootNow();

}  // namespace bluebell

#endif  // BLUEBELL_CORE_BOOT_CLOCK_H_
