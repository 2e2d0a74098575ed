// What a daemon knows of another one.

#ifndef BLUEBELL_MEMBERSHIP_MEMBER_H_
#define BLUEBELL_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/membership/endpoint_status.h"
#include "bluebell/membership/ping_log.h"

namespace bluebell {

struct member {
  daemon_instance instance;
  domain_name domain;
  address peer_address;
  // True if the settings give `peer_address`; what the peer announces then
  // doesn't change it.
  bool address_from_settings = false;
  address admin_address;
  bool leaving = false;
  config_version config;
  // The last list of endpoint conditions that it sent.
  std::vector<endpoint_status> endpoints;
  std::vector<domain_name> silent_domains;
  // Nothing until a heartbeat came.
  std::optional<instant> last_heard;
  // The newest ping from it, to be echoed.
  std::uint64_t last_ping = 0;
  ping_log pings;
  instant last_sent;
};

}  // namespace bluebell

#endif  // BLUEBELL_MEMBERSHIP_MEMBER_H_
