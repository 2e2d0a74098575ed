#include "bluebell/ownership/renewal_exclusion.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace bluebell {

namespace {

using instants = std::vector<instant>;

// The earliest time at which `quorum` of `times` have passed. Nothing if there
// are fewer.
std::optional<instant> EarliestQuorum(instants times, std::size_t quorum) {
  if (times.size() < quorum) {
    return std::nullopt;
  }
  if (quorum == 0) {
    return instant::min();
  }
  std::sort(times.begin(), times.end());
  return times[quorum - 1];
}

class exclusion_finder {
 public:
  exclusion_finder(const table_replica& replica,
                   const table_peers& peers,
                   const daemon_instance& self,
                   table_version min_version,
                   const timing_settings& timing)
      : replica_(replica),
        peers_(peers),
        self_(self),
        min_version_(min_version),
        timing_(timing) {}

  // The time from which no daemon of the roster can renew. `adopted_at` is when
  // this daemon adopted the version.
  instant ForRoster(const std::set<daemon_instance>& members,
                    instant adopted_at) const {
    const instants acknowledged = Acknowledgements(members);
    if (acknowledged.size() == members.size()) {
      return EarliestQuorum(acknowledged, members.size()).value();
    }
    const duration freshness = WithDrift(timing_.table_freshness, timing_);
    if (const auto majority =
            EarliestQuorum(acknowledged, MajorityOf(members.size()))) {
      // No older version is proved current after adopted_at, and none has the
      // support of a majority after its acknowledgement. Both count for the
      // table freshness.
      return std::max(adopted_at, *majority) + freshness;
    }
    return ForSilentRoster(adopted_at);
  }

 private:
  // When each member adopted the version; members that haven't are left out.
  instants Acknowledgements(const std::set<daemon_instance>& members) const {
    instants acknowledged;
    for (const daemon_instance& member : members) {
      const auto at = member == self_
                          ? replica_.AdoptedAt(min_version_)
                          : peers_.AcknowledgedAt(member, min_version_);
      if (at) {
        acknowledged.push_back(*at);
      }
    }
    return acknowledged;
  }

  // For a roster of which no majority has acknowledged: the later of the ends
  // of domain autonomy and region autonomy.
  instant ForSilentRoster(instant adopted_at) const {
    const duration domain_term =
        std::max<duration>(timing_.table_freshness, timing_.domain_autonomy);
    instant region_end =
        adopted_at + WithDrift(timing_.region_autonomy, timing_);
    if (const auto agreed_at = RegionAgreedAt()) {
      const duration freshness = WithDrift(timing_.table_freshness, timing_);
      region_end = std::min(region_end, *agreed_at + freshness);
    }
    return std::max(adopted_at + WithDrift(domain_term, timing_), region_end);
  }

  // When majorities of all rosters of most domains had acknowledged the
  // version, so that no majority of domains can support an older one.
  std::optional<instant> RegionAgreedAt() const {
    const auto& rosters = replica_.table().rosters();
    instants agreed;
    for (const domain_roster& roster : rosters) {
      if (const auto at = DomainAgreedAt(roster)) {
        agreed.push_back(*at);
      }
    }
    return EarliestQuorum(std::move(agreed), MajorityOf(rosters.size()));
  }

  // When majorities of the domain's current and former rosters had
  // acknowledged the version.
  std::optional<instant> DomainAgreedAt(const domain_roster& roster) const {
    if (roster.members.empty()) {
      return std::nullopt;
    }
    std::optional<instant> latest = MajorityAt(roster.members);
    for (const former_roster& former : roster.former_rosters) {
      const std::optional<instant> at = MajorityAt(former.members);
      latest = latest && at ? std::max(latest, at) : std::nullopt;
    }
    return latest;
  }

  std::optional<instant> MajorityAt(
      const std::set<daemon_instance>& members) const {
    return EarliestQuorum(Acknowledgements(members),
                          MajorityOf(members.size()));
  }

  const table_replica& replica_;
  const table_peers& peers_;
  const daemon_instance& self_;
  table_version min_version_;
  const timing_settings& timing_;
};

}  // namespace

duration WithDrift(duration value, const timing_settings& timing) {
  // Both clocks may drift, in opposite directions. The extra millisecond covers
  // rounding.
  constexpr std::int64_t kMillion = 1'000'000;
  const auto ppm = static_cast<std::int64_t>(timing.clock_drift_ppm);
  return value + value * (2 * ppm) / kMillion + milliseconds(1);
}

std::optional<instant> RosterExcludedAt(
    const table_replica& replica,
    const table_peers& peers,
    const daemon_instance& self,
    const std::set<daemon_instance>& members,
    table_version min_version,
    const timing_settings& timing) {
  const std::optional<instant> adopted_at = replica.AdoptedAt(min_version);
  if (!adopted_at) {
    return std::nullopt;
  }
  return exclusion_finder(replica, peers, self, min_version, timing)
      .ForRoster(members, *adopted_at);
}

std::optional<instant> RenewalsExcludedAt(const table_replica& replica,
                                          const table_peers& peers,
                                          const daemon_instance& self,
                                          const domain_name& domain,
                                          table_version min_version,
                                          const timing_settings& timing) {
  const std::optional<instant> adopted_at = replica.AdoptedAt(min_version);
  const domain_roster* roster = replica.table().FindRoster(domain);
  if (!adopted_at || !roster) {
    return std::nullopt;
  }
  const exclusion_finder finder(replica, peers, self, min_version, timing);
  instant latest =
      std::max(*adopted_at, finder.ForRoster(roster->members, *adopted_at));
  for (const former_roster& former : roster->former_rosters) {
    latest = std::max(latest, finder.ForRoster(former.members, *adopted_at));
  }
  return latest;
}

}  // namespace bluebell
