#include "bluebell/dispatcher/dispatch_claim.h"

#include <algorithm>
#include <chrono>

namespace bluebell {

namespace {

constexpr seconds kMinClaimInterval{1};

std::uint64_t Micros(wall_instant time) {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<microseconds>(time.time_since_epoch())
          .count());
}

}  // namespace

dispatch_claim::dispatch_claim(duration max_overlap,
                               wall_instant now,
                               std::uint64_t least_epoch)
    : max_overlap_(max_overlap),
      made_at_(now),
      epoch_(std::max(Micros(now), least_epoch)),
      complete_from_(now + max_overlap) {}

dispatch_claim dispatch_claim::Make(const timing_settings& timing,
                                    bool checks_epoch,
                                    wall_instant now) {
  // All daemons learn of the new dispatcher within the detection time and the
  // age of their view. An endpoint that doesn't check epochs may also accept
  // orders that were delayed on their way.
  const duration detection_delay = timing.detection + timing.table_freshness;
  const duration order_delay =
      checks_epoch ? milliseconds(0) : timing.max_order_delay;
  return {detection_delay + order_delay + timing.max_clock_error, now, 0};
}

std::optional<dispatch_claim> dispatch_claim::Renewed(wall_instant now) const {
  if (now - made_at_ < kMinClaimInterval) {
    return std::nullopt;
  }
  return dispatch_claim(max_overlap_, now, epoch_ + 1);
}

}  // namespace bluebell
