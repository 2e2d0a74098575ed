// One host in the platform's list, which lags.

#ifndef BLUEBELL_STORE_HOST_ENTRY_H_
#define BLUEBELL_STORE_HOST_ENTRY_H_

#include <cstdint>
#include <string>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"

namespace bluebell {

enum class host_role : std::uint8_t { kDaemon, kEndpoint };
enum class host_state : std::uint8_t { kLive, kLeaving };

struct host_entry {
  std::string name;
  host_role role = host_role::kEndpoint;
  host_state state = host_state::kLive;
  domain_name domain;
  // For endpoints only.
  service_name service;
  // HTTP for endpoints; the address for other daemons otherwise.
  address where;

  friend bool operator==(const host_entry&, const host_entry&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, role, state, domain, service, where);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_STORE_HOST_ENTRY_H_
