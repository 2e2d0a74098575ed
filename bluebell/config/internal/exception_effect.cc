#include "bluebell/config/internal/exception_effect.h"

#include <algorithm>
#include <set>
#include <string>

#include "bluebell/config/internal/scope_rules.h"
#include "bluebell/config/internal/value_rules.h"
#include "bluebell/config/setting.h"

namespace bluebell::internal {

namespace {

config_scope ScopeOf(const known_endpoint& endpoint) {
  return {endpoint.service, endpoint.domain, endpoint.id, caller_name()};
}

// True if dispatchers read the setting for one endpoint, so that the known
// endpoints are all its targets.
bool DiffersByEndpoint(const config_exception& exception) {
  const setting* definition = FindSetting(exception.setting);
  return definition != nullptr &&
         (definition->parts & static_cast<unsigned>(scope_part::kEndpoint)) !=
             0;
}

// The endpoints in the scope.
std::vector<config_scope> TargetsOf(const config_scope& scope,
                                    const known_fleet& fleet) {
  std::vector<config_scope> targets;
  for (const known_endpoint& endpoint : fleet.endpoints) {
    if (Covers(scope, ScopeOf(endpoint))) {
      targets.push_back(ScopeOf(endpoint));
    }
  }
  return targets;
}

std::int64_t NumberOf(const config_exception& exception,
                      const setting& definition) {
  return bluebell::NumberOf(EffectiveValues(exception.scope, {}, {exception}),
                            definition);
}

}  // namespace

std::vector<config_finding> FindUnmatched(const config_exception& exception,
                                          const known_fleet& fleet,
                                          const entry_place& place) {
  const config_scope& scope = exception.scope;
  std::vector<config_finding> found;
  const auto check = [&](const char* part, const std::string& name,
                         bool exists) {
    if (!name.empty() && !exists) {
      found.emplace_back(unknown_name{place, part, name});
    }
  };
  const bool endpoint_exists = std::any_of(
      fleet.endpoints.begin(), fleet.endpoints.end(),
      [&](const known_endpoint& each) { return each.id == scope.endpoint; });
  check("service", scope.service.value(),
        fleet.services.contains(scope.service));
  check("domain", scope.domain.value(), fleet.domains.contains(scope.domain));
  check("endpoint", scope.endpoint.value(), endpoint_exists);
  check("caller", scope.caller.value(),
        !fleet.callers || fleet.callers->contains(scope.caller));
  if (found.empty() && DiffersByEndpoint(exception) &&
      TargetsOf(scope, fleet).empty()) {
    found.emplace_back(unmatched_scope{place, ScopeText(scope)});
  }
  return found;
}

std::optional<config_finding> FindOverridden(
    const config_exception& exception,
    const std::vector<config_exception>& all,
    const known_fleet& fleet,
    const entry_place& place) {
  if (!DiffersByEndpoint(exception)) {
    return std::nullopt;
  }
  const unsigned own = Specificity(exception.scope);
  std::set<std::string> names;
  const std::vector<config_scope> targets = TargetsOf(exception.scope, fleet);
  for (const config_scope& target : targets) {
    const auto stronger =
        std::find_if(all.begin(), all.end(), [&](const auto& other) {
          return other.setting == exception.setting &&
                 Specificity(other.scope) > own && Covers(other.scope, target);
        });
    if (stronger == all.end()) {
      return std::nullopt;
    }
    names.insert(stronger->name);
  }
  if (names.empty()) {
    return std::nullopt;
  }
  std::string by;
  for (const std::string& name : names) {
    by.append(by.empty() ? "" : ", ").append(name);
  }
  return overridden_exception{place, by};
}

std::optional<config_finding> FindWithoutEffect(
    const config_exception& exception,
    const policy_values& defaults,
    const std::vector<config_exception>& all,
    const entry_place& place) {
  const setting* definition = FindSetting(exception.setting);
  if (definition == nullptr) {
    return std::nullopt;
  }
  const unsigned own = Specificity(exception.scope);
  // The less specific exceptions that would apply to a part of the scope, and
  // the most specific of them that applies to all of it. No less specific one
  // than that applies anywhere in the scope, nor does the default.
  std::vector<const config_exception*> lower;
  const config_exception* covering = nullptr;
  for (const config_exception& other : all) {
    const bool overlaps = other.setting == exception.setting &&
                          Specificity(other.scope) < own &&
                          Intersect(other.scope, exception.scope);
    if (!overlaps) {
      continue;
    }
    lower.push_back(&other);
    const bool covers = Covers(other.scope, exception.scope);
    if (covers && (covering == nullptr ||
                   Specificity(covering->scope) < Specificity(other.scope))) {
      covering = &other;
    }
  }
  const std::int64_t number = NumberOf(exception, *definition);
  const std::int64_t without = covering != nullptr
                                   ? NumberOf(*covering, *definition)
                                   : bluebell::NumberOf(defaults, *definition);
  const unsigned floor = covering != nullptr ? Specificity(covering->scope) : 0;
  const bool same = std::all_of(
      lower.begin(), lower.end(), [&](const config_exception* other) {
        return Specificity(other->scope) < floor ||
               NumberOf(*other, *definition) == number;
      });
  if (without != number || !same) {
    return std::nullopt;
  }
  return entry_without_effect{
      place,
      covering != nullptr ? "exception " + covering->name : "the default",
      exception.value};
}

}  // namespace bluebell::internal
