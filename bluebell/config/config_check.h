// Checks changes of the configuration before an operator sends them. Pure
// functions; nothing is sent or stored.
//
//   const auto changes = ReadConfigChanges(text);
//   const config_check checked =
//       CheckConfigChanges(changes.value(), {in_force, fleet});

#ifndef BLUEBELL_CONFIG_CONFIG_CHECK_H_
#define BLUEBELL_CONFIG_CONFIG_CHECK_H_

#include <optional>
#include <string_view>
#include <vector>

#include "bluebell/config/config_change.h"
#include "bluebell/config/config_difference.h"
#include "bluebell/config/config_finding.h"
#include "bluebell/config/fleet_config.h"
#include "bluebell/config/known_fleet.h"
#include "bluebell/core/result.h"

namespace bluebell {

// What the changes would meet, as far as it is known.
struct check_context {
  // nullopt: the built-in defaults without exceptions, in the version that the
  // first change names. Exceptions that are removed are then taken to exist.
  std::optional<fleet_config> in_force;
  // nullopt: names aren't checked.
  std::optional<known_fleet> fleet;
};

struct config_check {
  std::vector<config_finding> findings;
  // What the valid changes would change of the version in force. Empty if that
  // isn't known.
  std::vector<config_difference> differences;

  friend bool operator==(const config_check&, const config_check&) = default;
};

// Reads one change or a list of changes, in the form that config_change_json.h
// describes. Fails with errc::kMalformedMessage and the line of the fault if
// the text isn't JSON, or neither an object nor a list. A change that can't be
// read is an error in the list.
result<std::vector<result<config_change>>> ReadConfigChanges(
    std::string_view json);

// Checks the changes in their order, each against the result of those before.
// A change that daemons would refuse is left out of that result. Findings about
// an exception of the version in force are made only if the changes cause them.
config_check CheckConfigChanges(
    const std::vector<result<config_change>>& changes,
    const check_context& context);

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_CONFIG_CHECK_H_
