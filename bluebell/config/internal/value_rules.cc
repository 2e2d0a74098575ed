#include "bluebell/config/internal/value_rules.h"

#include <algorithm>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

#include "bluebell/config/internal/scope_rules.h"
#include "bluebell/config/setting.h"

namespace bluebell::internal {

namespace {

constexpr std::int64_t kMaxShareSumPercent = 100;

struct sum_at_most {
  std::int64_t limit;
};
struct first_at_most_second {};
using relation = std::variant<sum_at_most, first_at_most_second>;

struct value_rule {
  relation condition;
  std::vector<const setting*> settings;
};

bool Holds(const sum_at_most& rule, std::span<const std::int64_t> numbers) {
  std::int64_t sum = 0;
  for (const std::int64_t number : numbers) {
    sum += number;
  }
  return sum <= rule.limit;
}

bool Holds(const first_at_most_second& /*rule*/,
           std::span<const std::int64_t> numbers) {
  return numbers[0] <= numbers[1];
}

bool Holds(const value_rule& rule, std::span<const std::int64_t> numbers) {
  return std::visit([&](const auto& r) { return Holds(r, numbers); },
                    rule.condition);
}

std::string Describe(const sum_at_most& rule) {
  return "their sum must be at most " + std::to_string(rule.limit);
}

std::string Describe(const first_at_most_second& /*rule*/) {
  return "the first must be at most the second";
}

std::vector<value_rule> AllRules() {
  std::vector<value_rule> rules;
  rules.push_back({sum_at_most{kMaxShareSumPercent},
                   {FindSetting("share_percent.urgent"),
                    FindSetting("share_percent.normal"),
                    FindSetting("share_percent.deferrable")}});
  for (const rank r : kRanks) {
    const std::string suffix(ToString(r));
    rules.push_back({first_at_most_second{},
                     {FindSetting("default_deadline_ms." + suffix),
                      FindSetting("max_deadline_ms." + suffix)}});
  }
  return rules;
}

// A value that a setting has in some scope.
struct candidate {
  config_scope scope;
  std::int64_t number;
};

// Searches for a scope that violates a rule. In each scope, the value of each
// setting of the rule comes from the default or from one exception. If the rule
// is violated in a scope, it is also violated in the intersection of the scopes
// of these values, since a scope that names fewer parts is covered by fewer
// exceptions. It is therefore enough to check the intersections of one
// candidate for each setting.
class violation_search {
 public:
  violation_search(const value_rule& rule,
                   const policy_values& defaults,
                   const std::vector<config_exception>& exceptions)
      : rule_(rule), defaults_(defaults) {
    candidates_.resize(rule.settings.size());
    for (std::size_t i = 0; i < rule.settings.size(); ++i) {
      const setting& definition = *rule.settings[i];
      candidates_[i].push_back({{}, NumberOf(defaults, definition)});
      for (const config_exception& exception : exceptions) {
        if (exception.setting == definition.name) {
          candidates_[i].push_back({exception.scope, NumberIn(exception)});
          relevant_.push_back(exception);
        }
      }
    }
  }

  std::optional<config_scope> Run() {
    numbers_.clear();
    return Extend({});
  }

 private:
  static std::int64_t NumberIn(const config_exception& exception) {
    return NumberOf(EffectiveValues(exception.scope, {}, {exception}),
                    *FindSetting(exception.setting));
  }

  std::optional<config_scope> Extend(const config_scope& scope) {
    if (numbers_.size() == candidates_.size()) {
      // More specific exceptions may override the candidates in this scope.
      const bool broken = !Holds(rule_, numbers_) && !HoldsIn(scope);
      return broken ? std::optional(scope) : std::nullopt;
    }
    for (const candidate& next : candidates_[numbers_.size()]) {
      numbers_.push_back(next.number);
      auto found = ExtendBy(scope, next.scope);
      numbers_.pop_back();
      if (found) {
        return found;
      }
    }
    return std::nullopt;
  }

  std::optional<config_scope> ExtendBy(const config_scope& scope,
                                       const config_scope& next) {
    // Most combinations satisfy the rule, and comparing numbers is faster than
    // comparing scopes.
    const bool complete = numbers_.size() == candidates_.size();
    if (complete && Holds(rule_, numbers_)) {
      return std::nullopt;
    }
    const auto both = Intersect(scope, next);
    return both ? Extend(*both) : std::nullopt;
  }

  bool HoldsIn(const config_scope& scope) const {
    const policy_values values = EffectiveValues(scope, defaults_, relevant_);
    std::vector<std::int64_t> numbers;
    for (const setting* definition : rule_.settings) {
      numbers.push_back(NumberOf(values, *definition));
    }
    return Holds(rule_, numbers);
  }

  const value_rule& rule_;
  const policy_values& defaults_;
  std::vector<config_exception> relevant_;
  std::vector<std::vector<candidate>> candidates_;
  std::vector<std::int64_t> numbers_;
};

std::string ViolationText(const value_rule& rule,
                          const config_scope& scope,
                          const policy_values& values) {
  std::string text = "for " + ScopeText(scope) + ' ';
  for (const setting* definition : rule.settings) {
    text.append(definition == rule.settings.front() ? "" : ", ")
        .append(definition->name)
        .append(" would be ")
        .append(TextOf(values, *definition));
  }
  text += "; ";
  return text +
         std::visit([](const auto& r) { return Describe(r); }, rule.condition);
}

}  // namespace

policy_values EffectiveValues(const config_scope& scope,
                              const policy_values& defaults,
                              const std::vector<config_exception>& exceptions) {
  std::vector<const config_exception*> covering;
  for (const config_exception& exception : exceptions) {
    if (Covers(exception.scope, scope)) {
      covering.push_back(&exception);
    }
  }
  // In ascending order of specificity, so that more specific exceptions
  // override less specific ones.
  std::stable_sort(covering.begin(), covering.end(),
                   [](const auto* a, const auto* b) {
                     return Specificity(a->scope) < Specificity(b->scope);
                   });
  policy_values values = defaults;
  for (const config_exception* exception : covering) {
    const setting* definition = FindSetting(exception->setting);
    if (definition == nullptr) {
      continue;
    }
    if (auto changed = WithValue(values, *definition, exception->value)) {
      values = changed.value();
    }
  }
  return values;
}

std::optional<std::string> FindViolatedRule(
    const policy_values& defaults,
    const std::vector<config_exception>& exceptions) {
  for (const value_rule& rule : AllRules()) {
    if (const auto scope = violation_search(rule, defaults, exceptions).Run()) {
      return ViolationText(rule, *scope,
                           EffectiveValues(*scope, defaults, exceptions));
    }
  }
  return std::nullopt;
}

}  // namespace bluebell::internal
