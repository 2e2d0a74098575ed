// The operators' configuration: fleet-wide defaults and exceptions, each
// exception with a written reason. One document in the platform's store.
//
//   result<fleet_config> next = current.Apply(change, change_id("..."), now);

#ifndef BLUEBELL_CONFIG_FLEET_CONFIG_H_
#define BLUEBELL_CONFIG_FLEET_CONFIG_H_

#include <cstddef>
#include <string>
#include <string_view>
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

  // Reads the stored JSON document. Fails with errc::kMalformedMessage if it
  // isn't one or holds a name or value that isn't allowed, and with
  // errc::kUnsupportedVersion if a later release wrote it in another format.
  static result<fleet_config> Parse(std::string_view json);
  std::string ToJson() const;

  // Returns the next version. Fails with errc::kConflict if `change` was made
  // against another version than this one (the error's detail then shows who
  // made which change since), and with errc::kInvalidArgument if a name, a
  // value or a reason is missing or not allowed, or if in some scope the shares
  // would exceed 100 percent or a default deadline its maximum. With
  // errc::kTooLarge if there would be more than kMaxExceptions.
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
  // An endpoint counts as more specific than a caller, a caller than a service,
  // a service than a failure domain. Takes time for each exception, so callers
  // keep the result for as long as the version is the same.
  policy_values ValuesFor(const config_scope& scope) const;

  // True if a daemon that holds `other` may go on to this version. Versions
  // never go back, whatever a delayed message or an old read brings.
  bool Supersedes(const fleet_config& other) const {
    return version_ > other.version_;
  }

  friend bool operator==(const fleet_config&, const fleet_config&) = default;

  static constexpr std::size_t kMaxHistory = 100;
  // Keeps the document under the store's limit of one megabyte for a value.
  static constexpr std::size_t kMaxExceptions = 1'000;
  static constexpr std::size_t kMaxReasonBytes = 400;

 private:
  config_version version_;
  change_id last_change_;
  policy_values defaults_;
  std::vector<config_exception> exceptions_;
  std::vector<config_history_entry> history_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_FLEET_CONFIG_H_
