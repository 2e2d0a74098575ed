// The operators' configuration: fleet-wide defaults and exceptions, each
// exception with a written reason. One document in the platform's store.
//
//   result<fleet_config> next = current.Apply(change, change_id("..."), now);

#ifndef BLUEBELL_CONFIG_FLEET_CONFIG_H_
#define BLUEBELL_CONFIG_FLEET_CONFIG_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bluebell/config/config_change.h"
#include "bluebell/config/config_exception.h"
#include "bluebell/config/config_scope.h"
#include "bluebell/config/policy_values.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"

namespace bluebell {

class fleet_config {
 public:
  // Version zero with the built-in defaults.
  fleet_config() = default;

  // Reads the stored JSON document.
  static result<fleet_config> Parse(std::string_view json);
  std::string ToJson() const;

  // Returns the next version. Fails with errc::kConflict if `change` was made
  // against another version than this one (the error's detail then shows who
  // made which change since), and with errc::kInvalidArgument if a name, a
  // value or a reason is missing or not allowed.
  result<fleet_config> Apply(const config_change& change,
                             const change_id& id,
                             wall_instant now) const;

  config_version version() const { return version_; }
  // The id of the change that made this version.
  const change_id& last_change() const { return last_change_; }
  const policy_values& defaults() const { return defaults_; }
  const std::vector<config_exception>& exceptions() const {
    return exceptions_;
  }
  // The last changes, newest first, at most kMaxHistory.
  const std::vector<config_history_entry>& history() const { return history_; }

  // The values in force for `scope`: the defaults, overridden by each exception
  // that matches. The most specific exception wins.
  policy_values ValuesFor(const config_scope& scope) const;

  friend bool operator==(const fleet_config&, const fleet_config&) = default;

  static constexpr std::size_t kMaxHistory = 100;

 private:
  config_version version_;
  change_id last_change_;
  policy_values defaults_;
  std::vector<config_exception> exceptions_;
  std::vector<config_history_entry> history_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_FLEET_CONFIG_H_
