#include "bluebell/config/internal/scope_rules.h"

#include <string_view>

#include "bluebell/config/setting.h"

namespace bluebell::internal {

namespace {

template <typename Name>
bool PartCovers(const Name& scope, const Name& target) {
  return scope.value().empty() || scope == target;
}

// False if `a` and `b` name different values for the part.
template <typename Name>
bool IntersectPart(const Name& a, const Name& b, Name& intersection) {
  intersection = a.value().empty() ? b : a;
  return b.value().empty() || intersection == b;
}

template <typename Name>
unsigned Weight(const Name& part, unsigned weight) {
  return part.value().empty() ? 0 : weight;
}

template <typename Name>
void AppendPart(std::string& text, std::string_view label, const Name& part) {
  if (part.value().empty()) {
    return;
  }
  if (!text.empty()) {
    text += ' ';
  }
  text.append(label).append("=").append(part.value());
}

}  // namespace

bool Covers(const config_scope& scope, const config_scope& target) {
  return PartCovers(scope.service, target.service) &&
         PartCovers(scope.domain, target.domain) &&
         PartCovers(scope.endpoint, target.endpoint) &&
         PartCovers(scope.caller, target.caller);
}

std::optional<config_scope> Intersect(const config_scope& a,
                                      const config_scope& b) {
  config_scope intersection;
  if (IntersectPart(a.service, b.service, intersection.service) &&
      IntersectPart(a.domain, b.domain, intersection.domain) &&
      IntersectPart(a.endpoint, b.endpoint, intersection.endpoint) &&
      IntersectPart(a.caller, b.caller, intersection.caller)) {
    return intersection;
  }
  return std::nullopt;
}

unsigned PartsOf(const config_scope& scope) {
  return Weight(scope.service, static_cast<unsigned>(scope_part::kService)) +
         Weight(scope.domain, static_cast<unsigned>(scope_part::kDomain)) +
         Weight(scope.endpoint, static_cast<unsigned>(scope_part::kEndpoint)) +
         Weight(scope.caller, static_cast<unsigned>(scope_part::kCaller));
}

unsigned Specificity(const config_scope& scope) {
  constexpr unsigned kEndpointWeight = 8;
  constexpr unsigned kCallerWeight = 4;
  constexpr unsigned kServiceWeight = 2;
  constexpr unsigned kDomainWeight = 1;
  return Weight(scope.endpoint, kEndpointWeight) +
         Weight(scope.caller, kCallerWeight) +
         Weight(scope.service, kServiceWeight) +
         Weight(scope.domain, kDomainWeight);
}

std::string ScopeText(const config_scope& scope) {
  std::string text;
  AppendPart(text, "service", scope.service);
  AppendPart(text, "domain", scope.domain);
  AppendPart(text, "endpoint", scope.endpoint);
  AppendPart(text, "caller", scope.caller);
  return text.empty() ? "everything" : text;
}

}  // namespace bluebell::internal
