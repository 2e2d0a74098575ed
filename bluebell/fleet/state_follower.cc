#include "bluebell/fleet/state_follower.h"

#include <algorithm>
#include <utility>

#include "bluebell/fleet/fleet_update.h"

namespace bluebell {

void state_follower::Start(std::vector<address> relays, instant now) {
  relays_ = std::move(relays);
  current_ = 0;
  pending_.reset();
  next_request_at_ = now;
  confirmed_at_ = now;
  misses_large_change_ = false;
}

void state_follower::SetRelays(std::vector<address> relays) {
  if (relays == relays_) {
    return;
  }
  relays_ = std::move(relays);
  current_ = 0;
  const bool remains = pending_ && std::find(relays_.begin(), relays_.end(),
                                             pending_->relay) != relays_.end();
  if (!remains) {
    pending_.reset();
  }
}

void state_follower::ChangeRelay(instant now) {
  current_ = relays_.empty() ? 0 : (current_ + 1) % relays_.size();
  next_request_at_ = now;
}

bool state_follower::NeedsStore(instant now) const {
  return relays_.empty() || misses_large_change_ ||
         now - confirmed_at_ >= kMaxUnconfirmed;
}

follower_action state_follower::Next(instant now) {
  if (relays_.empty()) {
    return wait_until{now + kPollInterval};
  }
  if (pending_) {
    const instant timeout = pending_->sent_at + kReplyTimeout;
    if (now < timeout) {
      return wait_until{timeout};
    }
    pending_.reset();
    ChangeRelay(now);
  }
  if (now < next_request_at_) {
    return wait_until{next_request_at_};
  }
  pending_ = {relays_[current_], ++last_number_, now};
  next_request_at_ = now + kPollInterval;
  return ask_relay{pending_->relay, pending_->number};
}

bool state_follower::OnUpdate(const address& from,
                              const fleet_update& update,
                              instant now) {
  if (!pending_ || pending_->relay != from ||
      pending_->number != update.number) {
    return false;
  }
  const instant sent_at = pending_->sent_at;
  pending_.reset();
  if (!update.confirmed) {
    // Waits for a poll interval once all relays have been asked.
    const bool asked_all = current_ + 1 >= relays_.size();
    ChangeRelay(asked_all ? sent_at + kPollInterval : now);
    return false;
  }
  const bool has_changes = std::any_of(
      update.scopes.begin(), update.scopes.end(),
      [](const scope_changes& each) { return !each.changes.empty(); });
  misses_large_change_ = update.has_more && !has_changes;
  if (misses_large_change_) {
    next_request_at_ = sent_at + kPollInterval;
    return false;
  }
  if (update.has_more) {
    next_request_at_ = now;
    return true;
  }
  confirmed_at_ =
      std::max(confirmed_at_, sent_at - milliseconds(update.confirmed_age_ms));
  return true;
}

}  // namespace bluebell
