#include "bluebell/gateway/role_claim.h"

#include <string>

#include "bluebell/fleet/store_keys.h"

namespace bluebell {

kv_write ClaimWrite(const role_versions& expected,
                    const daemon_instance& self,
                    const std::vector<daemon_instance>& formers,
                    kv_lease lease) {
  std::vector<daemon_instance> history{self};
  history.insert(history.end(), formers.begin(), formers.end());
  return {{{std::string(kCoordinatorKey), expected.holder},
           {std::string(kCoordinatorHistoryKey), expected.history}},
          {{std::string(kCoordinatorKey), EncodeDaemon(self), lease},
           {std::string(kCoordinatorHistoryKey), EncodeDaemons(history),
            kv_lease()}}};
}

kv_write FormersExcludedWrite(const role_versions& held,
                              const daemon_instance& self) {
  return {{{std::string(kCoordinatorKey), held.holder}},
          {{std::string(kCoordinatorHistoryKey), EncodeDaemons({self}),
            kv_lease()}}};
}

role_versions FindRoleVersions(const std::vector<kv_item>& items) {
  role_versions found;
  for (const kv_item& item : items) {
    if (item.key == kCoordinatorKey) {
      found.holder = item.revision;
    } else if (item.key == kCoordinatorHistoryKey) {
      found.history = item.revision;
    }
  }
  return found;
}

std::optional<held_role> FindOwnClaim(const std::vector<kv_item>& items,
                                      const daemon_instance& self) {
  const role_versions versions = FindRoleVersions(items);
  for (const kv_item& item : items) {
    if (item.key == kCoordinatorKey && item.value == EncodeDaemon(self)) {
      return held_role{versions, item.lease};
    }
  }
  return std::nullopt;
}

}  // namespace bluebell
