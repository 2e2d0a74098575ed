// The commands of bluebellctl.

#ifndef BLUEBELL_CTL_COMMAND_H_
#define BLUEBELL_CTL_COMMAND_H_

#include <optional>
#include <string>
#include <variant>

#include "bluebell/config/config_scope.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/request_id.h"
#include "bluebell/core/time.h"

namespace bluebell::ctl {

struct status_command {
  // Lists the endpoints and daemons that are well, too.
  bool all = false;

  friend bool operator==(const status_command&,
                         const status_command&) = default;
};

struct config_get_command {
  // Empty: all settings.
  std::string setting;
  // Empty: the fleet-wide defaults.
  config_scope scope;

  friend bool operator==(const config_get_command&,
                         const config_get_command&) = default;
};

struct config_history_command {
  friend bool operator==(const config_history_command&,
                         const config_history_command&) = default;
};

struct config_wait_command {
  config_version version;
  milliseconds limit{0};

  friend bool operator==(const config_wait_command&,
                         const config_wait_command&) = default;
};

// Checks changes before they are sent.
struct config_check_command {
  std::string file;

  friend bool operator==(const config_check_command&,
                         const config_check_command&) = default;
};

// What all changes of the configuration have in common.
struct change_options {
  std::string reason;
  std::string operator_name;
  // The version that the operator saw. Nothing: the one in force now.
  std::optional<config_version> base;

  friend bool operator==(const change_options&,
                         const change_options&) = default;
};

struct config_set_command {
  std::string setting;
  std::string value;
  change_options options;

  friend bool operator==(const config_set_command&,
                         const config_set_command&) = default;
};

struct except_add_command {
  std::string name;
  config_scope scope;
  std::string setting;
  std::string value;
  change_options options;

  friend bool operator==(const except_add_command&,
                         const except_add_command&) = default;
};

struct except_remove_command {
  std::string name;
  change_options options;

  friend bool operator==(const except_remove_command&,
                         const except_remove_command&) = default;
};

struct drain_command {
  endpoint_id endpoint;
  change_options options;

  friend bool operator==(const drain_command&, const drain_command&) = default;
};

struct undrain_command {
  endpoint_id endpoint;
  change_options options;

  friend bool operator==(const undrain_command&,
                         const undrain_command&) = default;
};

struct placement_command {
  // Empty: all services.
  service_name service;

  friend bool operator==(const placement_command&,
                         const placement_command&) = default;
};

struct explain_key_command {
  service_name service;
  std::string key;

  friend bool operator==(const explain_key_command&,
                         const explain_key_command&) = default;
};

struct explain_request_command {
  request_id id;

  friend bool operator==(const explain_request_command&,
                         const explain_request_command&) = default;
};

struct domain_lost_command {
  domain_name domain;
  std::string reason;
  std::string operator_name;

  friend bool operator==(const domain_lost_command&,
                         const domain_lost_command&) = default;
};

using command = std::variant<status_command,
                             config_get_command,
                             config_history_command,
                             config_wait_command,
                             config_check_command,
                             config_set_command,
                             except_add_command,
                             except_remove_command,
                             drain_command,
                             undrain_command,
                             placement_command,
                             explain_key_command,
                             explain_request_command,
                             domain_lost_command>;

}  // namespace bluebell::ctl

#endif  // BLUEBELL_CTL_COMMAND_H_
