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

// The latest moment at or after which `needed` of the given moments lie.
std::optional<instant> QuorumInstant(instants moments, std::size_t needed) {
  if (needed == 0 || moments.size() < needed) {
    return std::nullopt;
  }
  std::sort(moments.begin(), moments.end(), std::greater<>());
  return moments[needed - 1];
}

class limit_finder {
 public:
  limit_finder(const table_replica& replica,
               const table_peers& peers,
               const daemon_instance& self,
               instant now)
      : replica_(replica), peers_(peers), self_(self), now_(now) {}

  // The latest moment at which a majority of `members` supported the version.
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
    return QuorumInstant(std::move(supported), MajorityOf(members.size()));
  }

  // The latest moment at which majorities of most domains supported it.
  std::optional<instant> RegionSupport() const {
    const auto& rosters = replica_.table().rosters();
    instants supported;
    for (const domain_roster& roster : rosters) {
      if (const auto at = MajoritySupport(roster.members)) {
        supported.push_back(*at);
      }
    }
    return QuorumInstant(std::move(supported), MajorityOf(rosters.size()));
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
  const std::optional<instant> proven = replica.proven_at();
  if (!proven || replica.stale() || !replica.table().IsMember(domain, self)) {
    return {};
  }
  renewal_limit limit{renewal_basis::kFresh, *proven + timing.table_freshness};
  const auto extend = [&](renewal_basis basis, instant until) {
    if (until > limit.until) {
      // A fresh proof stays the basis while it lasts.
      limit.basis = now < limit.until ? limit.basis : basis;
      limit.until = until;
    }
  };
  const limit_finder find(replica, peers, self, now);
  const auto own =
      find.MajoritySupport(replica.table().FindRoster(domain)->members);
  if (!own) {
    return limit;
  }
  extend(renewal_basis::kDomainAutonomy,
         std::min(*proven + timing.domain_autonomy,
                  *own + timing.table_freshness));
  if (const auto region = find.RegionSupport()) {
    extend(renewal_basis::kRegionAutonomy,
           std::min(*proven + timing.region_autonomy,
                    std::min(*own, *region) + timing.table_freshness));
  }
  return limit;
}

}  // namespace bluebell
