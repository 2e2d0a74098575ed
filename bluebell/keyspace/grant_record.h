// The coordinator's record of the grants that it sent for one assignment: when
// the next renewal is due, and by when all of the grants have expired.
//
//   grant_record record = grant_record::New(now);
//   record.OnSent(now);
//   record.OnAccepted(now, timing, now);
//   instant ended = record.LatestExpiry(timing);

#ifndef BLUEBELL_KEYSPACE_GRANT_RECORD_H_
#define BLUEBELL_KEYSPACE_GRANT_RECORD_H_

#include <algorithm>
#include <optional>
#include <string>

#include "bluebell/core/time.h"
#include "bluebell/keyspace/grant_times.h"
#include "bluebell/keyspace/key_timing.h"

namespace bluebell {

class grant_record {
 public:
  // The record of an assignment that this coordinator wrote. The first grant is
  // due at `now`. `handover` is the token from the former owner's release; it
  // is sent with each grant until the endpoint has answered one.
  static grant_record New(std::string handover, instant now);
  // The record of an assignment that returns keys to the owner with the record
  // `earlier`. It keeps the times of the earlier grants, because one without an
  // answer may still be carried out.
  static grant_record ReturnedToOwner(const grant_record& earlier,
                                      std::string handover,
                                      instant now);
  // The record of an assignment that a former coordinator wrote. That one may
  // have sent grants up to `former_stopped_by`; no value while this time isn't
  // known. The endpoint counts as having accepted a grant, and a renewal is due
  // at `now`.
  static grant_record Inherited(std::optional<instant> former_stopped_by,
                                instant now);

  // Merges the records of two adjacent ranges of one owner, so that one call
  // renews both. The merged record keeps the later of each pair of send times,
  // but the earlier of the latest accepted grants and of the renewal times.
  // CanMerge() is true if both have an accepted grant, none in flight, and the
  // times of a former coordinator's grants are known for both or for neither;
  // Merged() requires it.
  static bool CanMerge(const grant_record& a, const grant_record& b);
  static grant_record Merged(const grant_record& a, const grant_record& b);

  // A grant was decided at `now` and is in flight.
  void OnSent(instant now);
  // The endpoint accepted the grant that was sent at `sent_at`; the answer was
  // handled at `now`. The next renewal is due one renewal interval after
  // `sent_at`.
  void OnAccepted(instant sent_at, const key_timing& timing, instant now);
  // The same for a grant that the endpoint refused because it has seen a higher
  // fence.
  void OnSuperseded(instant sent_at, const key_timing& timing, instant now);
  // The grant that was sent at `sent_at` had no answer or was rejected.
  // `may_have_arrived` is false if it is certain that the grant was not sent;
  // otherwise the endpoint may still carry it out. The next renewal is due at
  // `now` plus the delay for retries.
  void OnUnanswered(instant sent_at,
                    bool may_have_arrived,
                    const key_timing& timing,
                    instant now);
  // A release had no answer. It may have ended the grant, until the endpoint
  // accepts another one.
  void OnReleaseUnanswered() { last_accepted_.reset(); }
  // The result of a grant from before the record, which was sent at `sent_at`,
  // was handled at `now`. The endpoint may still carry that grant out.
  void OnEarlierResult(instant sent_at, const key_timing& timing, instant now);
  // Makes a renewal due at `now`, because the endpoint may have lost the grant.
  void RenewNow(instant now) { next_renewal_ = std::min(next_renewal_, now); }
  // The former coordinator has sent no grant after `stopped_by`. Has an effect
  // only on an inherited record, and only the first time.
  void OnFormerStopped(instant stopped_by);

  // When the keys were assigned to the owner, as far as this coordinator knows.
  // The later time of merged records.
  instant assigned_at() const { return assigned_at_; }
  // False until the endpoint has accepted its first grant.
  bool was_accepted() const { return accepted_; }
  // True while a grant is in flight: its result isn't known yet.
  bool in_flight() const { return in_flight_; }
  // True if a grant is to be sent at `now`.
  bool IsDue(instant now) const { return !in_flight_ && next_renewal_ <= now; }
  // When this coordinator's grants were sent.
  const grant_times& times() const { return times_; }
  // Token for the next grant; empty if there is none.
  const std::string& handover() const { return handover_; }

  // The time at which every grant sent so far has expired at the endpoint, also
  // without a release. No value while a former coordinator may still send
  // grants.
  std::optional<instant> LatestExpiry(const key_timing& timing) const;
  // The same for the grants without an answer only, a former coordinator's
  // grants included. The endpoint may carry such a grant out after it has
  // confirmed a release, so the keys may go to another owner only after this
  // time. `instant()` if there are none.
  std::optional<instant> LatestUnconfirmedExpiry(
      const key_timing& timing) const;
  // True if the endpoint may hold no grant at `now`: by its own clock the
  // latest one may have run out, or a release without an answer may have ended
  // it. A release that it confirms then proves nothing: it may have had nothing
  // to release while work still runs that it began under the grant.
  bool MayHaveEnded(const key_timing& timing, instant now) const;
  // True if the latest accepted grant is so old that the keys shouldn't be
  // released before another is accepted.
  bool IsRenewalOverdue(const key_timing& timing, instant now) const;

 private:
  void OnAnswered(instant sent_at, const key_timing& timing, instant now);

  // False while a former coordinator may still send grants.
  bool HasKnownOrigin() const { return !inherited_ || former_stopped_by_; }

  instant assigned_at_;
  bool inherited_ = false;
  bool accepted_ = false;
  std::optional<instant> former_stopped_by_;
  std::string handover_;
  grant_times times_;
  // The time of the grant before the latest one. Counts again if the latest one
  // turns out not to have been sent.
  std::optional<instant> previous_sent_;
  // When the latest accepted grant was sent; no value if a release may have
  // ended it.
  std::optional<instant> last_accepted_;
  bool in_flight_ = false;
  instant next_renewal_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_GRANT_RECORD_H_
