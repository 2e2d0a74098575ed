// An exception from the fleet-wide default of one setting.

#ifndef BLUEBELL_CONFIG_CONFIG_EXCEPTION_H_
#define BLUEBELL_CONFIG_CONFIG_EXCEPTION_H_

#include <string>

#include "bluebell/config/config_scope.h"

namespace bluebell {

struct config_exception {
  // Unique in the configuration. Operators use it to remove the exception.
  std::string name;
  config_scope scope;
  // The setting and its value as text, for example "share_percent.urgent" and
  // "70".
  std::string setting;
  std::string value;
  // Why the exception exists. Not empty in a configuration.
  std::string reason;

  friend bool operator==(const config_exception&,
                         const config_exception&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_CONFIG_EXCEPTION_H_
