// A daemon of the fleet, as it announces itself in the platform's store.

#ifndef BLUEBELL_FLEET_FLEET_MEMBER_H_
#define BLUEBELL_FLEET_FLEET_MEMBER_H_

#include <cstdint>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"

namespace bluebell {

struct fleet_member {
  daemon_instance instance;
  domain_name domain;
  // UDP address at which the daemon receives messages of other daemons.
  address peer;
  // CPU time that the daemon may use, in thousandths of a core.
  std::uint32_t cpu_millis = 1'000;
  // True if the daemon finishes its current work and takes no new roles.
  bool leaving = false;

  friend bool operator==(const fleet_member&, const fleet_member&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_MEMBER_H_
