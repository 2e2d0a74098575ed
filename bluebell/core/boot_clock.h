// The monotonic clock that goes on while the host is suspended. Leases and
// grants elsewhere run out during a suspension, so their times are kept on it.

#ifndef BLUEBELL_CORE_BOOT_CLOCK_H_
#define BLUEBELL_CORE_BOOT_CLOCK_H_

#include "bluebell/core/time.h"

namespace bluebell {

instant BootNow();

}  // namespace bluebell

#endif  // BLUEBELL_CORE_BOOT_CLOCK_H_
