#include "bluebell/proxy/shutdown_window.h"

#include <algorithm>

namespace bluebell {

namespace {

// Time between the exit and the kill of the process.
constexpr milliseconds kExitMargin{400};
// The time that a response takes from the endpoint to the caller on a busy
// host.
constexpr milliseconds kDeliveryMargin{150};
// Most responses take no longer than this multiple of the expected duration.
constexpr int kIdempotentWorkFactor = 2;
constexpr int kNonIdempotentWorkFactor = 3;

}  // namespace

shutdown_window::shutdown_window(instant began_at,
                                 instant exit_at,
                                 instant answer_by)
    : began_at_(began_at), exit_at_(exit_at), answer_by_(answer_by) {}

shutdown_window shutdown_window::Begin(instant now, duration grace) {
  const instant exit_at = now + std::max<duration>(grace - kExitMargin, {});
  return {now, exit_at, std::max(now, exit_at - kDeliveryMargin)};
}

bool shutdown_window::HasTimeFor(duration expected,
                                 bool idempotent,
                                 instant now) const {
  const int factor =
      idempotent ? kIdempotentWorkFactor : kNonIdempotentWorkFactor;
  return now + expected * factor <= answer_by_;
}

}  // namespace bluebell
