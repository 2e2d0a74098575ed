#include "bluebell/ownership/renewal_exclusion.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace bluebell {

namespace {

using instants = std::vector<instant>;

// The earliest moment by which `needed` of the given moments have passed.
std::optional<instant> QuorumInstant(instants moments, std::size_t needed) {
  if (moments.size() < needed) {
    return std::nullopt;
  }
  if (needed == 0) {
    return instant::min();
  }
  std::sort(moments.begin(), moments.end());
  return moments[needed - 1];
}

class exclusion_finder {
 public:
  exclusion_finder(const table_replica& replica,
                   const table_peers& peers,
                   const daemon_instance& self,
                   table_version since,
                   const timing_settings& timing)
      : replica_(replica),
        peers_(peers),
        self_(self),
        since_(since),
        timing_(timing) {}

  instant ForRoster(const std::set<daemon_instance>& members,
                    instant held_since) const {
    const instants acknowledged = Acknowledgements(members);
    if (acknowledged.size() == members.size()) {
      return QuorumInstant(acknowledged, members.size()).value();
    }
    const duration freshness = WithDrift(timing_.table_freshness, timing_);
    if (const auto majority =
            QuorumInstant(acknowledged, MajorityOf(members.size()))) {
      // Proofs end by held_since, support by the majority's acknowledgement.
      return std::max(held_since, *majority) + freshness;
    }
    return ForSilentRoster(held_since);
  }

 private:
  instants Acknowledgements(const std::set<daemon_instance>& members) const {
    instants acknowledged;
    for (const daemon_instance& member : members) {
      const auto at = member == self_ ? replica_.HeldSince(since_)
                                      : peers_.AcknowledgedAt(member, since_);
      if (at) {
        acknowledged.push_back(*at);
      }
    }
    return acknowledged;
  }

  instant ForSilentRoster(instant held_since) const {
    const duration domain =
        std::max<duration>(timing_.table_freshness, timing_.domain_autonomy);
    instant region = held_since + WithDrift(timing_.region_autonomy, timing_);
    if (const auto agreed = RegionAgreedAt()) {
      const duration freshness = WithDrift(timing_.table_freshness, timing_);
      region = std::min(region, *agreed + freshness);
    }
    return std::max(held_since + WithDrift(domain, timing_), region);
  }

  // When majorities of all rosters of most domains had acknowledged, so that
  // no majority of domains can support an older version.
  std::optional<instant> RegionAgreedAt() const {
    const auto& rosters = replica_.table().rosters();
    instants agreed;
    for (const domain_roster& roster : rosters) {
      if (const auto at = DomainAgreedAt(roster)) {
        agreed.push_back(*at);
      }
    }
    return QuorumInstant(std::move(agreed), MajorityOf(rosters.size()));
  }

  std::optional<instant> DomainAgreedAt(const domain_roster& roster) const {
    if (roster.members.empty()) {
      return std::nullopt;
    }
    std::optional<instant> latest = MajorityAt(roster.members);
    for (const former_roster& former : roster.formers) {
      const std::optional<instant> at = MajorityAt(former.members);
      latest = latest && at ? std::max(latest, at) : std::nullopt;
    }
    return latest;
  }

  std::optional<instant> MajorityAt(
      const std::set<daemon_instance>& members) const {
    return QuorumInstant(Acknowledgements(members), MajorityOf(members.size()));
  }

  const table_replica& replica_;
  const table_peers& peers_;
  const daemon_instance& self_;
  table_version since_;
  const timing_settings& timing_;
};

}  // namespace

duration WithDrift(duration value, const timing_settings& timing) {
  // Both clocks may be off, in opposite directions. The extra millisecond
  // covers rounding.
  constexpr std::int64_t kMillion = 1'000'000;
  const auto ppm = static_cast<std::int64_t>(timing.clock_drift_ppm);
  return value + value * (2 * ppm) / kMillion + milliseconds(1);
}

std::optional<instant> RosterExcludedAt(
    const table_replica& replica,
    const table_peers& peers,
    const daemon_instance& self,
    const std::set<daemon_instance>& members,
    table_version since,
    const timing_settings& timing) {
  const std::optional<instant> held = replica.HeldSince(since);
  if (!held) {
    return std::nullopt;
  }
  return exclusion_finder(replica, peers, self, since, timing)
      .ForRoster(members, *held);
}

std::optional<instant> RenewalsExcludedAt(const table_replica& replica,
                                          const table_peers& peers,
                                          const daemon_instance& self,
                                          const domain_name& domain,
                                          table_version since,
                                          const timing_settings& timing) {
  const std::optional<instant> held = replica.HeldSince(since);
  const domain_roster* roster = replica.table().FindRoster(domain);
  if (!held || !roster) {
    return std::nullopt;
  }
  const exclusion_finder find(replica, peers, self, since, timing);
  instant latest = std::max(*held, find.ForRoster(roster->members, *held));
  for (const former_roster& former : roster->formers) {
    latest = std::max(latest, find.ForRoster(former.members, *held));
  }
  return latest;
}

}  // namespace bluebell
