// What differs between two versions of the configuration.

#ifndef BLUEBELL_CONFIG_CONFIG_DIFFERENCE_H_
#define BLUEBELL_CONFIG_CONFIG_DIFFERENCE_H_

#include <string>
#include <vector>

namespace bluebell {

class fleet_config;

struct config_difference {
  // For example "default moves_per_minute" or "exception x".
  std::string what;
  // Empty if it doesn't exist before, or after.
  std::string before;
  std::string after;

  friend bool operator==(const config_difference&,
                         const config_difference&) = default;
};

// The defaults in the order of the settings, then the exceptions by name.
std::vector<config_difference> DifferencesBetween(const fleet_config& before,
                                                  const fleet_config& after);

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_CONFIG_DIFFERENCE_H_
