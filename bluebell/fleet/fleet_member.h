// A daemon of the fleet as it announces itself in the platform's store.

#ifndef BLUEBELL_FLEET_FLEET_MEMBER_H_
#define BLUEBELL_FLEET_FLEET_MEMBER_H_

#include <cstdint>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"

namespace bluebell {

struct fleet_member {
  daemon_instance instance;
  domain_name domain;
  // Where it takes messages of other daemons (UDP).
  address peer;
  // Thousandths of a processor core that it may use.
  std::uint32_t cpu_millis = 1'000;
  // Finishes what it has and takes no new duties.
  bool leaving = false;

  friend bool operator==(const fleet_member&, const fleet_member&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_MEMBER_H_
