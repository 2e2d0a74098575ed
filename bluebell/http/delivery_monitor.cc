#include "bluebell/http/delivery_monitor.h"

#include <algorithm>
#include <chrono>

namespace bluebell {

namespace {

// A probe that was sent shortly before an observation may still be answered.
constexpr milliseconds kMinAckWait{750};
// The kernel must not end a connection before an acknowledgment that has just
// arrived is observed.
constexpr milliseconds kUserTimeoutMargin{500};

}  // namespace

void delivery_monitor::OnWriteBegun(instant deadline, instant now) {
  if (!active_) {
    stalled_since_ = now;
    last_ack_ = now;
    awaits_ack_since_.reset();
  }
  active_ = true;
  writing_ = true;
  deadline_ = deadline;
}

bool delivery_monitor::OnWriteEnded(std::size_t unsent_bytes) {
  writing_ = false;
  active_ = active_ && unsent_bytes > 0;
  return !active_;
}

delivery_verdict delivery_monitor::Observe(const delivery_sample& sample,
                                           instant now) {
  if (sample.undelivered_bytes == 0 && !writing_) {
    active_ = false;
    return delivery_complete();
  }
  if (now >= deadline_) {
    return delivery_overdue();
  }
  if (!sample.repeats) {
    stalled_since_ = now;
  }
  const instant ack = now - sample.since_last_ack;
  if (ack > last_ack_ || !sample.awaits_ack) {
    awaits_ack_since_.reset();
  }
  if (sample.awaits_ack && !awaits_ack_since_) {
    awaits_ack_since_ = now;
  }
  last_ack_ = std::max(last_ack_, ack);
  const bool had_time_to_answer =
      awaits_ack_since_ && now - *awaits_ack_since_ >= kMinAckWait;
  if (had_time_to_answer && now - last_ack_ >= kPeerSilenceTimeout) {
    return peer_silent();
  }
  const duration stalled =
      std::max<duration>(last_ack_ - stalled_since_, duration(0));
  return delivery_continues{std::chrono::ceil<milliseconds>(stalled) +
                            kPeerSilenceTimeout + kUserTimeoutMargin};
}

}  // namespace bluebell
