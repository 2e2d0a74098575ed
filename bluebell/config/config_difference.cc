#include "bluebell/config/config_difference.h"

#include <map>
#include <utility>

#include "bluebell/config/fleet_config.h"
#include "bluebell/config/internal/scope_rules.h"
#include "bluebell/config/setting.h"

namespace bluebell {

namespace {

std::map<std::string, std::string> ExceptionTexts(const fleet_config& config) {
  std::map<std::string, std::string> texts;
  for (const config_exception& each : config.exceptions()) {
    texts[each.name] = each.setting + " = " + each.value + " for " +
                       internal::ScopeText(each.scope);
  }
  return texts;
}

}  // namespace

std::vector<config_difference> DifferencesBetween(const fleet_config& before,
                                                  const fleet_config& after) {
  std::vector<config_difference> differences;
  const auto compare = [&differences](std::string what, std::string old_text,
                                      std::string new_text) {
    if (old_text != new_text) {
      differences.push_back(
          {std::move(what), std::move(old_text), std::move(new_text)});
    }
  };
  for (const setting& which : AllSettings()) {
    compare("default " + std::string(which.name),
            TextOf(before.defaults(), which), TextOf(after.defaults(), which));
  }
  std::map<std::string, std::pair<std::string, std::string>> exceptions;
  for (auto& [name, text] : ExceptionTexts(before)) {
    exceptions[name].first = text;
  }
  for (auto& [name, text] : ExceptionTexts(after)) {
    exceptions[name].second = text;
  }
  for (const auto& [name, texts] : exceptions) {
    compare("exception " + name, texts.first, texts.second);
  }
  return differences;
}

}  // namespace bluebell
