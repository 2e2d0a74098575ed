// The configuration of the fleet by its operators: fleet-wide defaults, and
// exceptions with a reason each. It is stored as one document in the platform's
// store. An immutable value: Apply() returns a new one.
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
  // Creates version zero with the built-in defaults.
  fleet_config() = default;

  // Parses the stored JSON document. Fails with errc::kMalformedMessage if it
  // is not valid or contains a name or value that is not allowed, and with
  // errc::kUnsupportedVersion if its format is not the one of this release.
  static result<fleet_config> Parse(std::string_view json);
  std::string ToJson() const;

  // Returns the next version. Fails with errc::kConflict if `change` was made
  // against another version than this one; the detail of the error then lists
  // the changes since and their operators. Fails with errc::kInvalidArgument if
  // a name, a value or a reason is missing or not allowed, or if in some scope
  // the shares would exceed 100 percent or a default deadline would exceed its
  // maximum. Fails with errc::kTooLarge if there would be more than
  // kMaxExceptions exceptions.
  result<fleet_config> Apply(const config_change& change,
                             const change_id& id,
                             wall_instant now) const;

  config_version version() const { return version_; }
  // The id of the change that produced this version.
  const change_id& last_change() const { return last_change_; }
  const policy_values& defaults() const { return defaults_; }
  const std::vector<config_exception>& exceptions() const {
    return exceptions_;
  }
  // The last changes, newest first; at most kMaxHistory.
  const std::vector<config_history_entry>& history() const { return history_; }

  // Returns the values in force for `scope`: the defaults, overridden by each
  // exception that matches. If several match, the most specific one applies: an
  // endpoint is more specific than a caller, a caller than a service, and a
  // service than a failure domain. The time grows with the number of
  // exceptions, so users of this function keep the result until the version
  // changes.
  policy_values ValuesFor(const config_scope& scope) const;

  // True if a daemon that has `other` may replace it by this version. Versions
  // never decrease, also if a delayed message or an old read has an older one.
  bool Supersedes(const fleet_config& other) const {
    return version_ > other.version_;
  }

  friend bool operator==(const fleet_config&, const fleet_config&) = default;

  static constexpr std::size_t kMaxHistory = 100;
  // Keeps the document below the store's limit of one megabyte per value.
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
