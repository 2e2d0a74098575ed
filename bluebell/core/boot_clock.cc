#include "bluebell/core/boot_clock.h"

#include <ctime>

namespace bluebell {

instant BootNow() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return instant(seconds(reading.tv_sec) + nanoseconds(reading.tv_nsec));
}

}  // namespace bluebell
