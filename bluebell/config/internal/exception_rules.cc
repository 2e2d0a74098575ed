#include "bluebell/config/internal/exception_rules.h"

#include <algorithm>
#include <cctype>
#include <string>
#include <utility>

#include "bluebell/config/fleet_config.h"
#include "bluebell/config/internal/scope_rules.h"
#include "bluebell/config/setting.h"

namespace bluebell::internal {

namespace {

// Enough for "drain-" and an endpoint id.
constexpr std::size_t kMaxNameBytes = 80;

error ExceptionError(const config_exception& added, std::string detail) {
  return {errc::kInvalidArgument, step::kChangeConfig,
          "exception " + added.name, std::move(detail)};
}

bool IsName(std::string_view text) {
  const auto allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::string PartNames(unsigned parts) {
  std::string text;
  const auto append = [&](scope_part part, std::string_view name) {
    if ((parts & static_cast<unsigned>(part)) != 0) {
      text.append(text.empty() ? "" : ", ").append(name);
    }
  };
  append(scope_part::kService, "service");
  append(scope_part::kDomain, "domain");
  append(scope_part::kEndpoint, "endpoint");
  append(scope_part::kCaller, "caller");
  return text;
}

std::optional<error> FindScopeError(const config_exception& added,
                                    const setting& definition) {
  const unsigned parts = PartsOf(added.scope);
  const std::string name(definition.name);
  if (parts == 0) {
    return ExceptionError(added, "it names no scope; change the default of " +
                                     name + " if it is meant for everything");
  }
  if ((parts & ~definition.parts) != 0) {
    return ExceptionError(added,
                          name + " can't differ by " +
                              PartNames(parts & ~definition.parts) +
                              "; allowed: " + PartNames(definition.parts));
  }
  for (const std::string* part :
       {&added.scope.service.value(), &added.scope.domain.value(),
        &added.scope.endpoint.value(), &added.scope.caller.value()}) {
    if (part->size() > kMaxNameBytes) {
      return ExceptionError(added,
                            "a name in its scope has more than 80 bytes");
    }
  }
  const bool has_location = !added.scope.endpoint.value().empty() ||
                            !added.scope.domain.value().empty();
  if (definition.name == "drain" && !has_location) {
    return ExceptionError(
        added,
        "drain needs an endpoint or a domain in its scope; a whole "
        "service without endpoints can't answer");
  }
  return std::nullopt;
}

std::optional<error> FindConflict(
    const config_exception& added,
    const std::vector<config_exception>& existing) {
  for (const config_exception& other : existing) {
    if (other.name == added.name) {
      return ExceptionError(added,
                            "the name is taken; remove that exception first or "
                            "choose another name");
    }
    if (other.setting == added.setting && other.scope == added.scope) {
      return ExceptionError(added, "exception " + other.name +
                                       " already sets " + added.setting +
                                       " for " + ScopeText(added.scope));
    }
  }
  return std::nullopt;
}

}  // namespace

bool HasNonSpace(std::string_view text) {
  return std::any_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isspace(c) == 0; });
}

std::optional<error> FindExceptionError(
    const config_exception& added,
    const std::vector<config_exception>& existing) {
  if (!IsName(added.name)) {
    return ExceptionError(
        added, "a name has 1 to 80 letters, digits, '.', '_' or '-'");
  }
  if (!HasNonSpace(added.reason)) {
    return ExceptionError(added, "a written reason is required");
  }
  if (added.reason.size() > fleet_config::kMaxReasonBytes) {
    return ExceptionError(
        added, "its reason has " + std::to_string(added.reason.size()) +
                   " bytes; allowed: at most " +
                   std::to_string(fleet_config::kMaxReasonBytes));
  }
  const setting* definition = FindSetting(added.setting);
  if (definition == nullptr) {
    return ExceptionError(added,
                          "there is no setting \"" + added.setting + "\"");
  }
  if (const auto changed = WithValue({}, *definition, added.value); !changed) {
    return changed.error();
  }
  if (auto mistake = FindScopeError(added, *definition)) {
    return mistake;
  }
  return FindConflict(added, existing);
}

}  // namespace bluebell::internal
