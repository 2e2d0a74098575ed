// What a daemon knows about another daemon from the settings, the platform's
// list and its heartbeats.

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
  // True if the settings give `peer_address`. Then the address in the peer's
  // heartbeats is ignored.
  bool address_from_settings = false;
  address admin_address;
  bool leaving = false;
  config_version config;
  // The last non-empty list of endpoint conditions that the peer sent.
  std::vector<endpoint_status> endpoints;
  // Failure domains in which the peer knows no live daemon.
  std::vector<domain_name> silent_domains;
  // When the last heartbeat arrived; nothing before the first one.
  std::optional<instant> last_heard;
  // The highest ping received from the peer, echoed in heartbeats to it.
  std::uint64_t last_ping = 0;
  // The pings sent to the peer.
  ping_log pings;
  // When the last heartbeat to the peer was sent.
  instant last_sent;
};

}  // namespace bluebell

#endif  // BLUEBELL_MEMBERSHIP_MEMBER_H_
