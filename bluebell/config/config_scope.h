// The services, failure domains, endpoints and callers that a value applies to.
// An empty field matches everything.

#ifndef BLUEBELL_CONFIG_CONFIG_SCOPE_H_
#define BLUEBELL_CONFIG_CONFIG_SCOPE_H_

#include "bluebell/core/ids.h"

namespace bluebell {

struct config_scope {
  service_name service;
  domain_name domain;
  endpoint_id endpoint;
  caller_name caller;

  friend bool operator==(const config_scope&, const config_scope&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_CONFIG_SCOPE_H_
