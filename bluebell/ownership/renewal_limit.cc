#include "bluebell/ownership/renewal_limit.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace bluebell {

namespace {

using instants = std::vector<instant>;

// The latest time that at least `quorum` of `times` have reached. Nothing if
// there are fewer.
std::optional<instant> LatestQuorum(instants times, std::size_t quorum) {
  if (quorum == 0 || times.size() < quorum) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end(), std::greater<>());
  return times[quorum - 1];
}

class support_finder {
 public:
  support_finder(const table_replica& replica,
                 const table_peers& peers,
                 const daemon_instance& self,
                 instant now)
      : replica_(replica), peers_(peers), self_(self), now_(now) {}

  // The latest time at which a majority of `members` supported the version of
  // this daemon's table.
  std::optional<instant> MajoritySupport(
      const std::set<daemon_instance>& members) const {
    const table_version version = replica_.table().version();
    instants supported;
    for (const daemon_instance& member : members) {
      const std::optional<instant> at =
          member == self_ ? now_ : peers_.SupportedAt(member, version);
      if (at) {
        supported.push_back(*at);
      }
    }
    return LatestQuorum(std::move(supported), MajorityOf(members.size()));
  }

  // The latest time at which majorities of most domains supported it.
  std::optional<instant> RegionSupport() const {
    const auto& rosters = replica_.table().rosters();
    instants supported;
    for (const domain_roster& roster : rosters) {
      if (const auto at = MajoritySupport(roster.members)) {
        supported.push_back(*at);
      }
    }
    return LatestQuorum(std::move(supported), MajorityOf(rosters.size()));
  }

 private:
  const table_replica& replica_;
  const table_peers& peers_;
  const daemon_instance& self_;
  instant now_;
};

}  // namespace

std::string_view ToString(renewal_basis value) {
  constexpr std::array<std::string_view, 4> kNames = {
      "none", "fresh", "domain_autonomy", "region_autonomy"};
  return kNames.at(static_cast<std::size_t>(value));
}

renewal_limit RenewalLimit(const table_replica& replica,
                           const table_peers& peers,
                           const daemon_instance& self,
                           const domain_name& domain,
                           const timing_settings& timing,
                           instant now) {
  const std::optional<instant> proven_at = replica.proven_at();
  if (!proven_at || replica.stale() ||
      !replica.table().IsRosterMember(domain, self)) {
    return {};
  }
  renewal_limit limit{renewal_basis::kFresh,
                      *proven_at + timing.table_freshness};
  const auto extend = [&](renewal_basis basis, instant until) {
    if (until > limit.until) {
      // The basis remains the first condition that allows renewals now, even if
      // another one extends the limit.
      limit.basis = now < limit.until ? limit.basis : basis;
      limit.until = until;
    }
  };
  const support_finder finder(replica, peers, self, now);
  const auto domain_support =
      finder.MajoritySupport(replica.table().FindRoster(domain)->members);
  if (!domain_support) {
    return limit;
  }
  extend(renewal_basis::kDomainAutonomy,
         std::min(*proven_at + timing.domain_autonomy,
                  *domain_support + timing.table_freshness));
  if (const auto region_support = finder.RegionSupport()) {
    extend(renewal_basis::kRegionAutonomy,
           std::min(*proven_at + timing.region_autonomy,
                    std::min(*domain_support, *region_support) +
                        timing.table_freshness));
  }
  return limit;
}

}  // namespace bluebell
