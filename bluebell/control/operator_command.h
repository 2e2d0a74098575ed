// The commands that operators send to a daemon, and the form of its answers.

#ifndef BLUEBELL_CONTROL_OPERATOR_COMMAND_H_
#define BLUEBELL_CONTROL_OPERATOR_COMMAND_H_

#include <cstdint>
#include <string>
#include <variant>

#include "bluebell/config/config_change.h"
#include "bluebell/core/ids.h"

namespace bluebell {

struct show_status {
  friend bool operator==(const show_status&, const show_status&) = default;
};

struct show_config {
  friend bool operator==(const show_config&, const show_config&) = default;
};

struct show_placement {
  friend bool operator==(const show_placement&,
                         const show_placement&) = default;
};

// Shows which endpoint owns a key and the evidence for it.
struct explain_key {
  service_name service;
  std::string key;

  friend bool operator==(const explain_key&, const explain_key&) = default;
};

struct change_config {
  config_change change;

  friend bool operator==(const change_config&, const change_config&) = default;
};

// States that a failure domain is lost and no process in it runs any more. Its
// slices get new owners without waiting for leases to expire.
struct declare_domain_lost {
  domain_name domain;
  std::string operator_name;
  std::string reason;

  friend bool operator==(const declare_domain_lost&,
                         const declare_domain_lost&) = default;
};

using operator_command = std::variant<show_status,
                                      show_config,
                                      show_placement,
                                      explain_key,
                                      change_config,
                                      declare_domain_lost>;

// The daemon's answer: an HTTP status and a JSON body.
struct operator_reply {
  unsigned status = 200;
  std::string json;

  friend bool operator==(const operator_reply&,
                         const operator_reply&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_OPERATOR_COMMAND_H_
