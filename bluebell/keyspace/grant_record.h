// What the coordinator knows of the grants of one assignment: when the next
// renewal is due and when the last one has surely ended.
//
//   grant_record record = grant_record::New(now);
//   record.OnSent(now);
//   record.OnAnswered(now, timing);
//   instant ended = record.HeldUntil(timing);

#ifndef BLUEBELL_KEYSPACE_GRANT_RECORD_H_
#define BLUEBELL_KEYSPACE_GRANT_RECORD_H_

#include <algorithm>
#include <optional>
#include <string>

#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_timing.h"

namespace bluebell {

class grant_record {
 public:
  // An assignment that this coordinator wrote. `handover` goes with its first
  // grant.
  static grant_record New(std::string handover, instant now);
  // An assignment of a former coordinator, which may have sent grants until
  // `former_until`; nothing if that isn't known yet.
  static grant_record Inherited(std::optional<instant> former_until,
                                instant now);

  // One record for two neighbouring ranges of the same owner, whose grants are
  // to be renewed by one call. Each time is the later one of both.
  static bool CanMerge(const grant_record& a, const grant_record& b);
  static grant_record Merged(const grant_record& a, const grant_record& b);

  void OnSent(instant now);
  void OnAnswered(instant sent_at, const key_timing& timing);
  // No answer; `left_host` is false if the order surely wasn't sent.
  void OnUnanswered(instant sent_at,
                    bool left_host,
                    const key_timing& timing,
                    instant now);
  // The endpoint may have lost the grant: renews it as soon as possible.
  void RenewNow(instant now) { next_ = std::min(next_, now); }
  // A former coordinator sends nothing after `until`.
  void SetFormerUntil(instant until);

  // False until the endpoint has accepted its first grant.
  bool was_accepted() const { return accepted_; }
  // A grant was sent whose end isn't known yet.
  bool in_flight() const { return in_flight_; }
  bool IsDue(instant now) const { return !in_flight_ && next_ <= now; }
  const std::string& handover() const { return handover_; }

  // When the endpoint has surely stopped holding the keys by itself. Nothing
  // while a former coordinator may still send grants.
  std::optional<instant> HeldUntil(const key_timing& timing) const;
  // When no grant is left that might still take effect after the endpoint
  // confirmed a release: those without an answer may be carried out late.
  std::optional<instant> LateGrantsUntil(const key_timing& timing) const;

 private:
  bool inherited_ = false;
  bool accepted_ = false;
  std::optional<instant> former_until_;
  std::string handover_;
  std::optional<instant> last_sent_;
  // The one before, in case the last one turns out not to have been sent.
  std::optional<instant> previous_sent_;
  std::optional<instant> last_unanswered_;
  bool in_flight_ = false;
  instant next_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_GRANT_RECORD_H_
