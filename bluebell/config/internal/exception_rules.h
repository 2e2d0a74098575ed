// Rules for one exception.

#ifndef BLUEBELL_CONFIG_INTERNAL_EXCEPTION_RULES_H_
#define BLUEBELL_CONFIG_INTERNAL_EXCEPTION_RULES_H_

#include <optional>
#include <string_view>
#include <vector>

#include "bluebell/config/config_exception.h"
#include "bluebell/core/error.h"

namespace bluebell::internal {

// True if `text` holds anything but white space.
bool IsWritten(std::string_view text);

// Nothing if `added` may join `present`. Checks its name, scope, setting, value
// and reason, and that no other exception decides the same setting there.
std::optional<error> FindMistake(const config_exception& added,
                                 const std::vector<config_exception>& present);

}  // namespace bluebell::internal

#endif  // BLUEBELL_CONFIG_INTERNAL_EXCEPTION_RULES_H_
