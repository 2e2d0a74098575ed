// The heartbeat messages that daemons send each other by UDP.

#ifndef BLUEBELL_MEMBERSHIP_HEARTBEAT_H_
#define BLUEBELL_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/membership/endpoint_status.h"

namespace bluebell {

// The version of the sender's newest placement table of a shard. After sending
// it the sender never renews a lease under a lower version.
struct table_status {
  service_name service;
  std::uint32_t shard = 0;
  table_version version;
  // Age in microseconds, when the message was written, of the newest proof that
  // the version is current. Negative: no proof.
  std::int64_t proof_age_us = -1;

  friend bool operator==(const table_status&, const table_status&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, shard, version, proof_age_us);
  }
};

struct heartbeat {
  daemon_id sender;
  // Identifies the sender's process.
  incarnation run;
  domain_name domain;
  address peer_address;
  address admin_address;
  // The sender is shutting down.
  bool leaving = false;
  // The number of this heartbeat among those to this receiver.
  std::uint64_t ping = 0;
  // The highest ping that the sender has received from this receiver, and the
  // receiver's run that sent it.
  std::uint64_t echoed_ping = 0;
  incarnation echoed_run;
  config_version config;
  std::vector<table_status> tables;
  // The endpoints that the sender probes. Empty in most heartbeats while no
  // condition changes.
  std::vector<endpoint_status> endpoints;
  // Failure domains in which the sender knows no live daemon.
  std::vector<domain_name> silent_domains;

  friend bool operator==(const heartbeat&, const heartbeat&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sender, run, domain, peer_address, admin_address, leaving, ping,
            echoed_ping, echoed_run, config, tables, endpoints, silent_domains);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_MEMBERSHIP_HEARTBEAT_H_
