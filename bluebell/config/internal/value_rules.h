// Checks rules between the values of several settings. They must hold in every
// scope.

#ifndef BLUEBELL_CONFIG_INTERNAL_VALUE_RULES_H_
#define BLUEBELL_CONFIG_INTERNAL_VALUE_RULES_H_

#include <optional>
#include <string>
#include <vector>

#include "bluebell/config/config_exception.h"
#include "bluebell/config/policy_values.h"

namespace bluebell::internal {

// Returns the defaults overridden by each exception that covers `scope`; the
// most specific exception applies. Exceptions must have valid settings and
// values.
policy_values EffectiveValues(const config_scope& scope,
                              const policy_values& defaults,
                              const std::vector<config_exception>& exceptions);

// Returns nullopt if every rule holds in every scope, and otherwise the text of
// a violated rule with its scope. The rules: the sum of the three shares is at
// most 100, and default_deadline_ms is at most max_deadline_ms for each rank.
std::optional<std::string> FindViolatedRule(
    const policy_values& defaults,
    const std::vector<config_exception>& exceptions);

}  // namespace bluebell::internal

#endif  // BLUEBELL_CONFIG_INTERNAL_VALUE_RULES_H_
