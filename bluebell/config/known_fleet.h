// The names that exist in a fleet, as far as the checker of a configuration
// knows them.

#ifndef BLUEBELL_CONFIG_KNOWN_FLEET_H_
#define BLUEBELL_CONFIG_KNOWN_FLEET_H_

#include <optional>
#include <set>
#include <vector>

#include "bluebell/core/ids.h"

namespace bluebell {

struct known_endpoint {
  endpoint_id id;
  service_name service;
  domain_name domain;

  friend bool operator==(const known_endpoint&,
                         const known_endpoint&) = default;
};

struct known_fleet {
  std::set<service_name> services;
  std::set<domain_name> domains;
  std::vector<known_endpoint> endpoints;
  // nullopt: the callers aren't known.
  std::optional<std::set<caller_name>> callers;

  friend bool operator==(const known_fleet&, const known_fleet&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_KNOWN_FLEET_H_
