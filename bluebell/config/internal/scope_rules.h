// Compares and combines the scopes of exceptions.

#ifndef BLUEBELL_CONFIG_INTERNAL_SCOPE_RULES_H_
#define BLUEBELL_CONFIG_INTERNAL_SCOPE_RULES_H_

#include <optional>
#include <string>

#include "bluebell/config/config_scope.h"

namespace bluebell::internal {

// True if each part that `scope` names has the same value in `target`.
bool Covers(const config_scope& scope, const config_scope& target);

// Returns the scope that names all parts of both, or nullopt if they name
// different values for a part.
std::optional<config_scope> Intersect(const config_scope& a,
                                      const config_scope& b);

// Returns the sum of the `scope_part` values of the parts that `scope` names.
unsigned PartsOf(const config_scope& scope);

// If two scopes cover the same target, the one with the higher specificity
// applies. An endpoint is more specific than a caller, a caller than a service,
// a service than a failure domain; among equals the other parts decide.
unsigned Specificity(const config_scope& scope);

// Returns for example "service=tracker domain=lk-west-a", or "everything" for
// an empty scope.
std::string ScopeText(const config_scope& scope);

}  // namespace bluebell::internal

#endif  // BLUEBELL_CONFIG_INTERNAL_SCOPE_RULES_H_
