// Checks the rules for one exception.

#ifndef BLUEBELL_CONFIG_INTERNAL_EXCEPTION_RULES_H_
#define BLUEBELL_CONFIG_INTERNAL_EXCEPTION_RULES_H_

#include <optional>
#include <string_view>
#include <vector>

#include "bluebell/config/config_exception.h"
#include "bluebell/core/error.h"

namespace bluebell::internal {

// True if `text` contains a character that is not white space.
bool HasNonSpace(std::string_view text);

// Returns nullopt if `added` may be added to `existing`, and the reason
// otherwise. Checks its name, scope, setting, value and reason, and that no
// other exception sets the same setting for the same scope.
std::optional<error> FindExceptionError(
    const config_exception& added,
    const std::vector<config_exception>& existing);

}  // namespace bluebell::internal

#endif  // BLUEBELL_CONFIG_INTERNAL_EXCEPTION_RULES_H_
