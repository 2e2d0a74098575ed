#include "bluebell/keyspace/key_move.h"

#include <utility>

#include "bluebell/keyspace/key_timing.h"

namespace bluebell {

namespace {

constexpr milliseconds kReleaseRetryDelay{300};

}  // namespace

key_move key_move::FromOwner(move_number number,
                             const key_range& range,
                             endpoint_instance from,
                             grant_record grants,
                             std::optional<endpoint_instance> to,
                             instant release_at,
                             instant now) {
  key_move move;
  move.number_ = number;
  move.range_ = range;
  move.from_ = std::move(from);
  move.to_ = std::move(to);
  move.grants_ = std::move(grants);
  move.next_release_ = release_at;
  move.started_at_ = now;
  return move;
}

key_move key_move::WithoutOwner(move_number number,
                                const key_range& range,
                                instant now) {
  key_move move = FromOwner(number, range, endpoint_instance(),
                            grant_record::New({}, now), std::nullopt, now, now);
  move.released_at_ = now;
  return move;
}

bool key_move::IsReleaseDue(instant now) const {
  return !grants_.in_flight() && !was_released() && !release_in_flight_ &&
         next_release_ <= now;
}

void key_move::OnReleaseReply(std::optional<std::string> handover,
                              instant now) {
  release_in_flight_ = false;
  next_release_ = now + kReleaseRetryDelay;
  if (handover) {
    released_at_ = now;
    handover_ = *std::move(handover);
  } else {
    grants_.OnReleaseUnanswered();
  }
}

void key_move::OnReleaseUnsent(instant now) {
  release_in_flight_ = false;
  next_release_ = now + kReleaseRetryDelay;
}

bool key_move::IsEndProved(const key_timing& timing) const {
  return released_at_ && !grants_.MayHaveEnded(timing, *released_at_);
}

std::optional<instant> key_move::ReassignableAt(
    const key_timing& timing) const {
  return IsEndProved(timing) ? grants_.LatestUnconfirmedExpiry(timing)
                             : grants_.LatestExpiry(timing);
}

}  // namespace bluebell
