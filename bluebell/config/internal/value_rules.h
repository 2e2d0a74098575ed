// Rules between the values of several settings, which must hold wherever
// exceptions apply.

#ifndef BLUEBELL_CONFIG_INTERNAL_VALUE_RULES_H_
#define BLUEBELL_CONFIG_INTERNAL_VALUE_RULES_H_

#include <optional>
#include <string>
#include <vector>

#include "bluebell/config/config_exception.h"
#include "bluebell/config/policy_values.h"

namespace bluebell::internal {

// The defaults overridden by each exception that covers `scope`; the most
// specific one wins. Exceptions must hold valid settings and values.
policy_values ValuesIn(const config_scope& scope,
                       const policy_values& defaults,
                       const std::vector<config_exception>& exceptions);

// Nothing if every rule holds in every scope. Otherwise names a rule that is
// broken and where. The rules: the three shares add up to at most 100, and
// default_deadline_ms is at most max_deadline_ms for each rank.
std::optional<std::string> FindBrokenRule(
    const policy_values& defaults,
    const std::vector<config_exception>& exceptions);

}  // namespace bluebell::internal

#endif  // BLUEBELL_CONFIG_INTERNAL_VALUE_RULES_H_
