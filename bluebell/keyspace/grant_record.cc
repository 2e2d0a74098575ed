#include "bluebell/keyspace/grant_record.h"

#include <algorithm>
#include <utility>

namespace bluebell {

grant_record grant_record::New(std::string handover, instant now) {
  grant_record record;
  record.handover_ = std::move(handover);
  record.next_ = now;
  return record;
}

grant_record grant_record::Inherited(std::optional<instant> former_until,
                                     instant now) {
  grant_record record;
  record.inherited_ = true;
  // The endpoint may have accepted a grant of the former coordinator.
  record.accepted_ = true;
  record.former_until_ = former_until;
  record.next_ = now;
  return record;
}

bool grant_record::CanMerge(const grant_record& a, const grant_record& b) {
  return !a.in_flight_ && !b.in_flight_ && a.accepted_ && b.accepted_ &&
         a.inherited_ == b.inherited_ && a.former_until_ == b.former_until_;
}

grant_record grant_record::Merged(const grant_record& a,
                                  const grant_record& b) {
  grant_record merged = a;
  // An optional without a value is less than any time.
  merged.last_sent_ = std::max(a.last_sent_, b.last_sent_);
  merged.previous_sent_ = std::max(a.previous_sent_, b.previous_sent_);
  merged.last_unanswered_ = std::max(a.last_unanswered_, b.last_unanswered_);
  merged.next_ = std::min(a.next_, b.next_);
  return merged;
}

void grant_record::OnSent(instant now) {
  in_flight_ = true;
  previous_sent_ = last_sent_;
  last_sent_ = now;
}

void grant_record::OnAnswered(instant sent_at, const key_timing& timing) {
  in_flight_ = false;
  // On a busy host a grant can be sent later than OnSent() was called.
  last_sent_ = std::max(last_sent_.value_or(sent_at), sent_at);
  accepted_ = true;
  handover_.clear();
  next_ = sent_at + timing.renewal;
}

void grant_record::OnUnanswered(instant sent_at,
                                bool left_host,
                                const key_timing& timing,
                                instant now) {
  in_flight_ = false;
  if (left_host) {
    last_unanswered_ = sent_at;
    last_sent_ = std::max(last_sent_.value_or(sent_at), sent_at);
  } else {
    last_sent_ = previous_sent_;
  }
  next_ = now + timing.renewal_retry;
}

void grant_record::SetFormerUntil(instant stopped_by) {
  if (inherited_ && !former_until_) {
    former_until_ = stopped_by;
  }
}

std::optional<instant> grant_record::HeldUntil(const key_timing& timing) const {
  if (inherited_ && !former_until_) {
    return std::nullopt;
  }
  instant latest;
  if (former_until_) {
    latest = *former_until_ + timing.LongestHold();
  }
  if (last_sent_) {
    latest = std::max(latest, *last_sent_ + timing.LongestHold());
  }
  return latest;
}

std::optional<instant> grant_record::LateGrantsUntil(
    const key_timing& timing) const {
  if (inherited_ && !former_until_) {
    return std::nullopt;
  }
  instant latest;
  if (former_until_) {
    latest = *former_until_ + timing.LongestHold();
  }
  if (last_unanswered_) {
    latest = std::max(latest, *last_unanswered_ + timing.LongestHold());
  }
  if (in_flight_ && last_sent_) {
    latest = std::max(latest, *last_sent_ + timing.LongestHold());
  }
  return latest;
}

}  // namespace bluebell
