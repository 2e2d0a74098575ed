// A change of the configuration that an operator requests, and its entry in the
// history of the configuration. See fleet_config::Apply.

#ifndef BLUEBELL_CONFIG_CONFIG_CHANGE_H_
#define BLUEBELL_CONFIG_CONFIG_CHANGE_H_

#include <string>
#include <variant>

#include "bluebell/config/config_exception.h"
#include "bluebell/core/ids.h"

namespace bluebell {

// Sets the fleet-wide default of a setting.
struct set_default {
  std::string setting;
  std::string value;

  friend bool operator==(const set_default&, const set_default&) = default;
};

struct add_exception {
  config_exception added;

  friend bool operator==(const add_exception&, const add_exception&) = default;
};

struct remove_exception {
  std::string name;

  friend bool operator==(const remove_exception&,
                         const remove_exception&) = default;
};

struct config_change {
  // The version that the operator saw. The change is refused if another version
  // is in force.
  config_version base;
  std::string operator_name;
  std::string reason;
  std::variant<set_default, add_exception, remove_exception> action;

  friend bool operator==(const config_change&, const config_change&) = default;
};

struct config_history_entry {
  // The version that the change produced.
  config_version version;
  std::string operator_name;
  std::string reason;
  // For example "set default share_percent.urgent = 70".
  std::string summary;
  // In ISO 8601 format, in UTC.
  std::string changed_at;

  friend bool operator==(const config_history_entry&,
                         const config_history_entry&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_CONFIG_CHANGE_H_
