#include "bluebell/config/fleet_config.h"

#include <algorithm>
#include <utility>

#include <boost/outcome/try.hpp>

#include "bluebell/config/internal/exception_rules.h"
#include "bluebell/config/internal/scope_rules.h"
#include "bluebell/config/internal/value_rules.h"
#include "bluebell/config/setting.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/core/time_text.h"

namespace bluebell {

namespace {

constexpr std::size_t kMaxOperatorBytes = 64;

// The defaults and exceptions after a change.
struct changed_config {
  policy_values defaults;
  std::vector<config_exception> exceptions;
};

error Invalid(std::string peer, std::string detail) {
  return {errc::kInvalidArgument, step::kChangeConfig, std::move(peer),
          std::move(detail)};
}

std::string VersionText(config_version version) {
  return std::to_string(version.value());
}

// Describes the changes since version `base` and their operators, newest first.
std::string ChangesSince(const fleet_config& current, config_version base) {
  std::string text = "the change was made against version " +
                     VersionText(base) + "; version " +
                     VersionText(current.version()) + " is in force";
  config_version oldest = current.version();
  for (const config_history_entry& entry : current.history()) {
    if (entry.version <= base) {
      break;
    }
    oldest = entry.version;
    text += "; " + VersionText(entry.version) + " by " + entry.operator_name +
            " at " + entry.changed_at + ": " + entry.summary +
            " (reason: " + entry.reason + ")";
  }
  if (oldest.value() > base.value() + 1) {
    text += "; older changes are no longer in the history";
  }
  return text;
}

result<void> CheckText(const config_change& change) {
  if (!internal::HasNonSpace(change.operator_name) ||
      change.operator_name.size() > kMaxOperatorBytes) {
    return Invalid("operator", "a name of 1 to 64 bytes is required");
  }
  if (!internal::HasNonSpace(change.reason)) {
    return Invalid("reason", "a written reason is required");
  }
  if (change.reason.size() > fleet_config::kMaxReasonBytes) {
    return Invalid("reason", "it has " + std::to_string(change.reason.size()) +
                                 " bytes; allowed: at most " +
                                 std::to_string(fleet_config::kMaxReasonBytes));
  }
  return boost::outcome_v2::success();
}

result<changed_config> Change(const fleet_config& current,
                              const set_default& wanted) {
  const setting* definition = FindSetting(wanted.setting);
  if (definition == nullptr) {
    return Invalid(wanted.setting, "there is no such setting");
  }
  if (definition->name == "drain") {
    return Invalid(wanted.setting,
                   "only exceptions may set it, for an endpoint or a domain");
  }
  BOOST_OUTCOME_TRY(policy_values defaults,
                    WithValue(current.defaults(), *definition, wanted.value));
  return changed_config{defaults, current.exceptions()};
}

result<changed_config> Change(const fleet_config& current,
                              const add_exception& wanted) {
  if (auto mistake =
          internal::FindExceptionError(wanted.added, current.exceptions())) {
    return *mistake;
  }
  if (current.exceptions().size() >= fleet_config::kMaxExceptions) {
    return error(
        errc::kTooLarge, step::kChangeConfig, "exception " + wanted.added.name,
        "there are already " + std::to_string(fleet_config::kMaxExceptions) +
            " exceptions; remove some first");
  }
  changed_config changed{current.defaults(), current.exceptions()};
  changed.exceptions.push_back(wanted.added);
  return changed;
}

result<changed_config> Change(const fleet_config& current,
                              const remove_exception& wanted) {
  changed_config changed{current.defaults(), current.exceptions()};
  const auto removed =
      std::erase_if(changed.exceptions, [&wanted](const auto& exception) {
        return exception.name == wanted.name;
      });
  if (removed == 0) {
    return Invalid("exception " + wanted.name, "there is no such exception");
  }
  return changed;
}

std::string Summary(const set_default& done) {
  return "set default " + done.setting + " = " + done.value;
}

std::string Summary(const add_exception& done) {
  return "add exception " + done.added.name + ": " + done.added.setting +
         " = " + done.added.value + " for " +
         internal::ScopeText(done.added.scope);
}

std::string Summary(const remove_exception& done) {
  return "remove exception " + done.name;
}

}  // namespace

result<fleet_config> fleet_config::Apply(const config_change& change,
                                         const change_id& id,
                                         wall_instant now) const {
  if (change.base != version_) {
    return error(errc::kConflict, step::kChangeConfig, "config",
                 ChangesSince(*this, change.base));
  }
  BOOST_OUTCOME_TRY(CheckText(change));
  BOOST_OUTCOME_TRY(
      changed_config changed,
      std::visit([this](const auto& action) { return Change(*this, action); },
                 change.action));
  if (const auto violation =
          internal::FindViolatedRule(changed.defaults, changed.exceptions)) {
    return Invalid("config", *violation);
  }
  fleet_config next;
  next.version_ = config_version(version_.value() + 1);
  next.last_change_ = id;
  next.defaults_ = changed.defaults;
  next.exceptions_ = std::move(changed.exceptions);
  next.history_.push_back(
      {next.version_, change.operator_name, change.reason,
       std::visit([](const auto& action) { return Summary(action); },
                  change.action),
       ToIso8601(now)});
  const std::size_t kept = std::min(history_.size(), kMaxHistory - 1);
  next.history_.insert(next.history_.end(), history_.begin(),
                       history_.begin() + static_cast<std::ptrdiff_t>(kept));
  return next;
}

policy_values fleet_config::ValuesFor(const config_scope& scope) const {
  return internal::EffectiveValues(scope, defaults_, exceptions_);
}

}  // namespace bluebell
