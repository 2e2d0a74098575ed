// The daemons that were coordinator before the present one and may still send
// orders about keys. Until all of them are excluded, it isn't known when their
// last grants end.
//
// An aggregate without I/O, used on the control thread.
//
//   auto formers = former_coordinators::FromHistory(history, revision, self);
//   formers.SetAuthorityUntil(claimed_at + timing.authority_duration);
//   for (const auto& exclusion : formers.Advance(announced, now)) ...
//   if (formers.all_excluded()) ...

#ifndef BLUEBELL_GATEWAY_FORMER_COORDINATORS_H_
#define BLUEBELL_GATEWAY_FORMER_COORDINATORS_H_

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/store_era.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/coordinator_record.h"

namespace bluebell {

// Why a former coordinator can send no more orders.
enum class exclusion_reason {
  // It has answered the claim with a yield.
  kYielded,
  // A later process has announced itself under its daemon id.
  kProcessEnded,
  // The latest end of its authority has passed.
  kAuthorityEnded,
  // The grants of all coordinators of a lost history have ended.
  kHistoryEnded
};

// A clause for log lines.
std::string_view ToText(exclusion_reason reason);

struct coordinator_exclusion {
  daemon_instance daemon;
  exclusion_reason reason = exclusion_reason::kYielded;

  friend bool operator==(const coordinator_exclusion&,
                         const coordinator_exclusion&) = default;
};

// The process that a daemon's entry in the store names, and the store's
// revision of that entry.
struct announced_run {
  incarnation run;
  store_version revision;

  friend bool operator==(const announced_run&, const announced_run&) = default;
};

class former_coordinators {
 public:
  using announced_map = std::map<daemon_id, announced_run>;

  // Without former coordinators.
  former_coordinators() = default;
  // The coordinators in `history`, the store's value when `self` claimed the
  // role, except earlier runs of `self`. `revision` is the store's revision of
  // that value.
  static former_coordinators FromHistory(
      const std::vector<coordinator_record>& history,
      store_version revision,
      const daemon_instance& self);

  // The store came back in `era` from an older copy, whose history may lack
  // coordinators. Adds a record that stands for them, which successors of this
  // daemon find in the history, too. It is excluded only by time.
  void AddLostHistory(const store_era& era);
  // True while the record of a lost history is pending.
  bool has_lost_history() const;

  // The authority of every former coordinator ends at `until` at the latest,
  // and grants that were sent before their end last for `grant_lifetime`.
  // Before this call no end is known.
  void SetAuthorityUntil(instant until, duration grant_lifetime = duration(0)) {
    authority_until_ = until;
    history_until_ = until + grant_lifetime;
  }
  // The latest end of the authority of every former coordinator.
  instant authority_until() const { return authority_until_; }

  // Excludes the daemons under whose id a later process is announced, and all
  // of them once their authority has ended. Returns the new exclusions. A
  // process counts as later only if its entry is newer than the record of the
  // former coordinator. An older entry may be that of an earlier process.
  std::vector<coordinator_exclusion> Advance(const announced_map& announced,
                                             instant now);
  // The process `yielded` has yielded. Excludes it and returns the exclusion;
  // nothing if it isn't a pending former coordinator.
  std::optional<coordinator_exclusion> OnYield(const daemon_instance& yielded);

  // True if no former coordinator can send orders any more.
  bool all_excluded() const { return pending_.empty(); }
  // The former coordinators that aren't excluded yet.
  const std::vector<coordinator_record>& pending() const { return pending_; }

 private:
  std::vector<coordinator_record> pending_;
  instant authority_until_ = instant::max();
  // When the record of a lost history is excluded: later than the others, since
  // a successor must not assign keys before its coordinators' grants have
  // ended.
  instant history_until_ = instant::max();
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_FORMER_COORDINATORS_H_
