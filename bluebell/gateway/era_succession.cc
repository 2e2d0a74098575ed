#include "bluebell/gateway/era_succession.h"

#include <algorithm>

namespace bluebell {

bool AreSettled(const std::map<service_name, key_table>& tables,
                const std::vector<service_name>& services,
                const store_era& era) {
  // A service without a table may have had one that the store has lost.
  return era == store_era() || std::all_of(services.begin(), services.end(),
                                           [&](const service_name& service) {
                                             const auto table =
                                                 tables.find(service);
                                             return table != tables.end() &&
                                                    table->second.era() >= era;
                                           });
}

bool IsClaimedByOther(const std::vector<coordinator_record>& history,
                      const daemon_instance& self,
                      const store_era& era) {
  return !history.empty() && history.front().daemon != self &&
         EraOf(history.front().announced_by) == era;
}

era_verdict era_succession::OnEra(const store_era& era,
                                  bool knows_owners,
                                  instant now) {
  if (era <= era_) {
    return era_verdict::kUnaffected;
  }
  era_ = era;
  seen_at_ = now;
  return knows_owners ? era_verdict::kReclaims : era_verdict::kStops;
}

bool era_succession::MayClaim(bool settled, instant now) const {
  return era_ == store_era() || settled || now >= seen_at_ + kPrecedence;
}

instant era_succession::SilentUntil(instant claimed_at) const {
  return claimed_at + timing_.authority_duration + timing_.MaxGrantLifetime();
}

}  // namespace bluebell
