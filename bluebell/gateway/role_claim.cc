#include "bluebell/gateway/role_claim.h"

#include <algorithm>
#include <string>

#include "bluebell/fleet/fleet_state.h"
#include "bluebell/fleet/store_keys.h"

namespace bluebell {

kv_write ClaimWrite(const role_versions& expected,
                    const daemon_instance& self,
                    const std::vector<coordinator_record>& formers,
                    kv_lease lease) {
  std::vector<coordinator_record> history{{self, VersionIn(lease.era(), 0)}};
  history.insert(history.end(), formers.begin(), formers.end());
  return {{{std::string(kCoordinatorKey), expected.coordinator},
           {std::string(kCoordinatorHistoryKey), expected.history}},
          {{std::string(kCoordinatorKey), EncodeDaemon(self), lease},
           {std::string(kCoordinatorHistoryKey), EncodeHistory(history),
            kv_lease()}}};
}

kv_write TrimHistoryWrite(const role_versions& claimed,
                          const daemon_instance& self) {
  return {{{std::string(kCoordinatorKey), claimed.coordinator}},
          {{std::string(kCoordinatorHistoryKey),
            EncodeHistory({{self, claimed.coordinator}}), kv_lease()}}};
}

kv_write WithdrawalWrite(const role_versions& claimed,
                         const std::vector<coordinator_record>& formers) {
  return {{{std::string(kCoordinatorKey), store_version()},
           {std::string(kCoordinatorHistoryKey), claimed.history}},
          {{std::string(kCoordinatorHistoryKey), EncodeHistory(formers),
            kv_lease()}}};
}

role_snapshot RoleIn(const fleet_state& state) {
  return {state.snapshot().coordinator,
          {state.RevisionOf(kCoordinatorKey),
           state.RevisionOf(kCoordinatorHistoryKey)},
          state.coordinator_history()};
}

bool MayBeClaimed(const role_snapshot& role, const daemon_instance& self) {
  return !role.coordinator ||
         (role.coordinator->id == self.id && role.coordinator->run != self.run);
}

role_versions FindRoleVersions(const std::vector<kv_item>& items) {
  role_versions found;
  for (const kv_item& item : items) {
    if (item.key == kCoordinatorKey) {
      found.coordinator = item.revision;
    } else if (item.key == kCoordinatorHistoryKey) {
      found.history = item.revision;
    }
  }
  return found;
}

result<std::vector<coordinator_record>> HistoryIn(
    const std::vector<kv_item>& items) {
  const auto found = std::find_if(
      items.begin(), items.end(),
      [](const kv_item& item) { return item.key == kCoordinatorHistoryKey; });
  if (found == items.end()) {
    return std::vector<coordinator_record>();
  }
  return DecodeHistory(found->key, found->value);
}

std::optional<role_claim> FindOwnClaim(const std::vector<kv_item>& items,
                                       const daemon_instance& self) {
  const role_versions versions = FindRoleVersions(items);
  for (const kv_item& item : items) {
    if (item.key == kCoordinatorKey && item.value == EncodeDaemon(self)) {
      return role_claim{versions, item.lease};
    }
  }
  return std::nullopt;
}

std::string IdsOf(const std::vector<coordinator_record>& records) {
  std::string ids;
  for (const coordinator_record& record : records) {
    ids += (ids.empty() ? "" : ",") + record.daemon.id.value();
  }
  return ids;
}

}  // namespace bluebell
