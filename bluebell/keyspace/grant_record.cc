#include "bluebell/keyspace/grant_record.h"

#include <algorithm>
#include <utility>

namespace bluebell {

grant_record grant_record::New(std::string handover, instant now) {
  grant_record record;
  record.handover_ = std::move(handover);
  record.next_renewal_ = now;
  return record;
}

grant_record grant_record::Inherited(std::optional<instant> former_stopped_by,
                                     instant now) {
  grant_record record;
  record.inherited_ = true;
  // The endpoint may have accepted a grant of the former coordinator.
  record.accepted_ = true;
  record.former_stopped_by_ = former_stopped_by;
  record.next_renewal_ = now;
  return record;
}

bool grant_record::CanMerge(const grant_record& a, const grant_record& b) {
  return !a.in_flight_ && !b.in_flight_ && a.accepted_ && b.accepted_ &&
         a.inherited_ == b.inherited_ &&
         a.former_stopped_by_ == b.former_stopped_by_;
}

grant_record grant_record::Merged(const grant_record& a,
                                  const grant_record& b) {
  grant_record merged = a;
  // An optional without a value is less than any time.
  merged.last_sent_ = std::max(a.last_sent_, b.last_sent_);
  merged.previous_sent_ = std::max(a.previous_sent_, b.previous_sent_);
  merged.last_unanswered_ = std::max(a.last_unanswered_, b.last_unanswered_);
  merged.next_renewal_ = std::min(a.next_renewal_, b.next_renewal_);
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
  next_renewal_ = sent_at + timing.renewal_interval;
}

void grant_record::OnUnanswered(instant sent_at,
                                bool may_have_arrived,
                                const key_timing& timing,
                                instant now) {
  in_flight_ = false;
  if (may_have_arrived) {
    last_unanswered_ = sent_at;
    last_sent_ = std::max(last_sent_.value_or(sent_at), sent_at);
  } else {
    last_sent_ = previous_sent_;
  }
  next_renewal_ = now + timing.renewal_retry_delay;
}

void grant_record::OnFormerStopped(instant stopped_by) {
  if (inherited_ && !former_stopped_by_) {
    former_stopped_by_ = stopped_by;
  }
}

std::optional<instant> grant_record::LatestExpiry(
    const key_timing& timing) const {
  if (inherited_ && !former_stopped_by_) {
    return std::nullopt;
  }
  instant latest;
  if (former_stopped_by_) {
    latest = *former_stopped_by_ + timing.MaxGrantLifetime();
  }
  if (last_sent_) {
    latest = std::max(latest, *last_sent_ + timing.MaxGrantLifetime());
  }
  return latest;
}

std::optional<instant> grant_record::LatestUnconfirmedExpiry(
    const key_timing& timing) const {
  if (inherited_ && !former_stopped_by_) {
    return std::nullopt;
  }
  instant latest;
  if (former_stopped_by_) {
    latest = *former_stopped_by_ + timing.MaxGrantLifetime();
  }
  if (last_unanswered_) {
    latest = std::max(latest, *last_unanswered_ + timing.MaxGrantLifetime());
  }
  if (in_flight_ && last_sent_) {
    latest = std::max(latest, *last_sent_ + timing.MaxGrantLifetime());
  }
  return latest;
}

}  // namespace bluebell
