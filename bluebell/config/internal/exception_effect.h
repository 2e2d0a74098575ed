// Finds out whether an exception of a valid configuration has any effect.

#ifndef BLUEBELL_CONFIG_INTERNAL_EXCEPTION_EFFECT_H_
#define BLUEBELL_CONFIG_INTERNAL_EXCEPTION_EFFECT_H_

#include <optional>
#include <vector>

#include "bluebell/config/config_exception.h"
#include "bluebell/config/config_finding.h"
#include "bluebell/config/known_fleet.h"
#include "bluebell/config/policy_values.h"

namespace bluebell::internal {

// Names in the scope that don't exist or, if all exist, a scope in which there
// is no endpoint. The findings have `place`.
std::vector<config_finding> FindUnmatched(const config_exception& exception,
                                          const known_fleet& fleet,
                                          const entry_place& place);

// Finds an exception that a more specific one overrides at each known endpoint
// in its scope. Never one for settings that don't differ by endpoint.
std::optional<config_finding> FindOverridden(
    const config_exception& exception,
    const std::vector<config_exception>& all,
    const known_fleet& fleet,
    const entry_place& place);

// Finds an exception without which the same value would apply everywhere in its
// scope. Exceptions that are needed to override a less specific one that
// overlaps are not found.
std::optional<config_finding> FindWithoutEffect(
    const config_exception& exception,
    const policy_values& defaults,
    const std::vector<config_exception>& all,
    const entry_place& place);

}  // namespace bluebell::internal

#endif  // BLUEBELL_CONFIG_INTERNAL_EXCEPTION_EFFECT_H_
