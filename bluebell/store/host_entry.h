// One host of the platform's list of hosts. The list may be out of date.

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
  // Empty for daemons.
  service_name service;
  // For endpoints the address of their HTTP interface, for daemons the address
  // that other daemons use.
  address where;

  friend bool operator==(const host_entry&, const host_entry&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, role, state, domain, service, where);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_STORE_HOST_ENTRY_H_
