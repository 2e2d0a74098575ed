#include "bluebell/keyspace/grant_record.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

// Renewal intervals without an accepted grant after which a renewal counts as
// overdue: one renewal was missed, and a third of the grant is left.
constexpr int kIntervalsUntilOverdue = 2;

// A time from which the grant that was sent at `sent_at` and had its result at
// `now` arrived within the timeout of a call. It is later than `sent_at` if the
// process was paused before it sent the grant or handled the timeout.
instant LatestSending(instant sent_at, const key_timing& timing, instant now) {
  return std::max(sent_at, now - timing.call_timeout);
}

}  // namespace

grant_record grant_record::New(std::string handover, instant now) {
  grant_record record;
  record.handover_ = std::move(handover);
  record.assigned_at_ = now;
  record.next_renewal_ = now;
  return record;
}

grant_record grant_record::ReturnedToOwner(const grant_record& earlier,
                                           std::string handover,
                                           instant now) {
  grant_record record = earlier;
  record.accepted_ = false;
  record.handover_ = std::move(handover);
  record.assigned_at_ = now;
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
  record.assigned_at_ = now;
  record.next_renewal_ = now;
  return record;
}

bool grant_record::CanMerge(const grant_record& a, const grant_record& b) {
  return !a.in_flight_ && !b.in_flight_ && a.accepted_ && b.accepted_ &&
         a.HasKnownOrigin() == b.HasKnownOrigin();
}

grant_record grant_record::Merged(const grant_record& a,
                                  const grant_record& b) {
  grant_record merged = a;
  merged.assigned_at_ = std::max(a.assigned_at_, b.assigned_at_);
  merged.inherited_ = a.inherited_ || b.inherited_;
  // An optional without a value is less than any time.
  merged.former_stopped_by_ =
      std::max(a.former_stopped_by_, b.former_stopped_by_);
  merged.times_.last_sent = std::max(a.times_.last_sent, b.times_.last_sent);
  merged.previous_sent_ = std::max(a.previous_sent_, b.previous_sent_);
  merged.times_.last_answered =
      std::max(a.times_.last_answered, b.times_.last_answered);
  merged.times_.last_unanswered =
      std::max(a.times_.last_unanswered, b.times_.last_unanswered);
  merged.last_accepted_ = std::min(a.last_accepted_, b.last_accepted_);
  merged.next_renewal_ = std::min(a.next_renewal_, b.next_renewal_);
  return merged;
}

void grant_record::OnSent(instant now) {
  in_flight_ = true;
  previous_sent_ = times_.last_sent;
  times_.last_sent = now;
}

void grant_record::OnAccepted(instant sent_at,
                              const key_timing& timing,
                              instant now) {
  OnAnswered(sent_at, timing, now);
  last_accepted_ = std::max(last_accepted_.value_or(sent_at), sent_at);
}

void grant_record::OnSuperseded(instant sent_at,
                                const key_timing& timing,
                                instant now) {
  OnAnswered(sent_at, timing, now);
}

void grant_record::OnAnswered(instant sent_at,
                              const key_timing& timing,
                              instant now) {
  in_flight_ = false;
  const instant latest = LatestSending(sent_at, timing, now);
  times_.last_sent = std::max(times_.last_sent.value_or(latest), latest);
  times_.last_answered = sent_at;
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
    const instant latest = LatestSending(sent_at, timing, now);
    times_.last_unanswered =
        std::max(times_.last_unanswered.value_or(latest), latest);
    times_.last_sent = std::max(times_.last_sent.value_or(latest), latest);
  } else {
    times_.last_sent = std::max(previous_sent_, times_.last_unanswered);
  }
  next_renewal_ = now + timing.renewal_retry_delay;
}

void grant_record::OnEarlierResult(instant sent_at,
                                   const key_timing& timing,
                                   instant now) {
  const instant latest = LatestSending(sent_at, timing, now);
  times_.last_unanswered =
      std::max(times_.last_unanswered.value_or(latest), latest);
  times_.last_sent = std::max(times_.last_sent.value_or(latest), latest);
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
  if (times_.last_sent) {
    latest = std::max(latest, *times_.last_sent + timing.MaxGrantLifetime());
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
  if (times_.last_unanswered) {
    latest =
        std::max(latest, *times_.last_unanswered + timing.MaxGrantLifetime());
  }
  if (in_flight_ && times_.last_sent) {
    latest = std::max(latest, *times_.last_sent + timing.MaxGrantLifetime());
  }
  return latest;
}

bool grant_record::MayHaveEnded(const key_timing& timing, instant now) const {
  return !last_accepted_ || *last_accepted_ + timing.grant_duration <= now;
}

bool grant_record::IsRenewalOverdue(const key_timing& timing,
                                    instant now) const {
  return !last_accepted_ ||
         *last_accepted_ + kIntervalsUntilOverdue * timing.renewal_interval <=
             now;
}

}  // namespace bluebell
