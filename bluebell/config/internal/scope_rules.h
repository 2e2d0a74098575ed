// How scopes of exceptions relate to each other and to what they cover.

#ifndef BLUEBELL_CONFIG_INTERNAL_SCOPE_RULES_H_
#define BLUEBELL_CONFIG_INTERNAL_SCOPE_RULES_H_

#include <optional>
#include <string>

#include "bluebell/config/config_scope.h"

namespace bluebell::internal {

// True if each part that `scope` names is the same in `where`.
bool Covers(const config_scope& scope, const config_scope& where);

// The scope that names all parts of both, unless they name different ones.
std::optional<config_scope> Intersect(const config_scope& a,
                                      const config_scope& b);

// Sum of `scope_part` of the parts that `scope` names.
unsigned PartsOf(const config_scope& scope);

// Of two scopes that cover the same place, the one of higher specificity wins:
// an endpoint before a caller before a service before a failure domain, and
// the further parts decide between equals.
unsigned Specificity(const config_scope& scope);

// For example "service=tracker domain=lk-west-a"; "everything" if empty.
std::string ScopeText(const config_scope& scope);

}  // namespace bluebell::internal

#endif  // BLUEBELL_CONFIG_INTERNAL_SCOPE_RULES_H_
