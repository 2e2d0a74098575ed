// What daemons tell each other by UDP.

#ifndef BLUEBELL_MEMBERSHIP_HEARTBEAT_H_
#define BLUEBELL_MEMBERSHIP_HEARTBEAT_H_

#include <cstdint>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/membership/endpoint_status.h"

namespace bluebell {

// The sender's newest table of a shard. A peer that gets this may rely on the
// sender never renewing a lease under a lower version again.
struct table_status {
  service_name service;
  std::uint32_t shard = 0;
  table_version version;
  // Age of the newest proof that the version is current, when the message was
  // written. Negative: no proof.
  std::int64_t proof_age_us = -1;

  friend bool operator==(const table_status&, const table_status&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, shard, version, proof_age_us);
  }
};

struct heartbeat {
  daemon_id sender;
  incarnation run;
  domain_name domain;
  address peer_address;
  address admin_address;
  bool leaving = false;
  // Counts the sender's heartbeats to this receiver.
  std::uint64_t ping = 0;
  // The newest ping that the sender got from this receiver, and the run of the
  // receiver that sent it.
  std::uint64_t echoed_ping = 0;
  incarnation echoed_run;
  config_version config;
  std::vector<table_status> tables;
  // The endpoints that the sender probes. Left out of most heartbeats unless
  // something changed.
  std::vector<endpoint_status> endpoints;
  // Failure domains of which the sender hears no daemon.
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
