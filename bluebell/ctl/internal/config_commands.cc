#include "bluebell/ctl/internal/config_commands.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "bluebell/config/config_change_json.h"
#include "bluebell/config/fleet_config.h"
#include "bluebell/config/setting.h"
#include "bluebell/ctl/internal/admin_page.h"
#include "bluebell/ctl/internal/exchange.h"
#include "bluebell/ctl/internal/text_table.h"

namespace bluebell::ctl::internal {

namespace {

using change_kind = std::variant<set_default, add_exception, remove_exception>;

// Sends a change made against `options.base`, or else against the version in
// force at the daemon now.
exit_status SendChange(change_kind what,
                       const change_options& options,
                       const surroundings& world,
                       bool json) {
  config_version base;
  if (options.base) {
    base = *options.base;
  } else {
    const auto config = GetConfig(world);
    if (const auto* failed = std::get_if<exit_status>(&config)) {
      return *failed;
    }
    base = std::get<fleet_config>(config).version();
  }
  const config_change change{base, options.operator_name, options.reason,
                             std::move(what)};
  const auto reply = Exchange(world, {"POST", "/config", ToJson(change)});
  if (const auto* failed = std::get_if<exit_status>(&reply)) {
    return *failed;
  }
  if (json) {
    world.out << std::get<std::string>(reply) << '\n';
    return exit_status::kOk;
  }
  const std::uint64_t version = base.value() + 1;
  world.out << "accepted as configuration version " << version
            << "\nnext: `bluebellctl config wait " << version
            << "` tells when it is in force on all live daemons\n";
  return exit_status::kOk;
}

std::string ScopeText(const config_scope& scope) {
  std::string text;
  const auto append = [&text](const char* label, const std::string& value) {
    if (!value.empty()) {
      text.append(text.empty() ? "" : " ").append(label).append(value);
    }
  };
  append("service=", scope.service.value());
  append("domain=", scope.domain.value());
  append("endpoint=", scope.endpoint.value());
  append("caller=", scope.caller.value());
  return text;
}

std::string ExceptionTable(const fleet_config& config,
                           const std::string& only_setting) {
  text_table table({"EXCEPTION", "SCOPE", "SETTING", "VALUE", "REASON"});
  for (const config_exception& exception : config.exceptions()) {
    if (only_setting.empty() || exception.setting == only_setting) {
      table.Add({exception.name, ScopeText(exception.scope), exception.setting,
                 exception.value, exception.reason});
    }
  }
  return table.ToString();
}

boost::json::object ValuesJson(const fleet_config& config,
                               const policy_values& values,
                               const std::string& only_setting) {
  boost::json::object settings;
  for (const setting& which : AllSettings()) {
    if (only_setting.empty() || which.name == only_setting) {
      settings[which.name] = TextOf(values, which);
    }
  }
  return {{"version", config.version().value()}, {"settings", settings}};
}

std::string MissingText(const status_page& status, config_version wanted) {
  std::string missing;
  for (const daemon_row& daemon : status.daemons) {
    if (daemon.live && daemon.config_version < wanted.value()) {
      missing.append(missing.empty() ? "" : ", ")
          .append(daemon.id)
          .append(" (has ")
          .append(std::to_string(daemon.config_version))
          .append(")");
    }
  }
  return missing;
}

std::string SilentText(const status_page& status) {
  std::string silent;
  for (const daemon_row& daemon : status.daemons) {
    if (!daemon.live) {
      silent.append(silent.empty() ? "" : ", ").append(daemon.id);
    }
  }
  return silent;
}

exit_status ReportInForce(const config_wait_command& wanted,
                          const status_page& status,
                          const surroundings& world,
                          bool json) {
  const std::string silent = SilentText(status);
  if (json) {
    world.out << boost::json::serialize(
                     boost::json::object{{"version", wanted.version.value()},
                                         {"in_force", true},
                                         {"silent", silent}})
              << '\n';
    return exit_status::kOk;
  }
  world.out << "version " << wanted.version
            << " is in force on all live daemons\n";
  if (!silent.empty()) {
    world.out << "not heard and so not counted: " << silent << '\n';
  }
  return exit_status::kOk;
}

exit_status ReportMissing(const config_wait_command& wanted,
                          const std::string& missing,
                          const surroundings& world,
                          bool json) {
  if (json) {
    world.out << boost::json::serialize(
                     boost::json::object{{"version", wanted.version.value()},
                                         {"in_force", false},
                                         {"missing", missing}})
              << '\n';
  }
  Complain(world,
           "version " + std::to_string(wanted.version.value()) +
               " is not in force after " +
               std::to_string(wanted.limit.count()) + " ms on: " + missing,
           "look at these daemons with `bluebellctl status --admin ADDRESS`; a "
           "daemon that is cut off takes the version when it is back");
  return exit_status::kWaitTimedOut;
}

std::string DrainName(const endpoint_id& endpoint) {
  return "drain-" + endpoint.value();
}

}  // namespace

exit_status Run(const config_get_command& wanted,
                const surroundings& world,
                bool json) {
  if (!wanted.setting.empty() && FindSetting(wanted.setting) == nullptr) {
    Complain(world, "there is no setting \"" + wanted.setting + "\"",
             "`bluebellctl config get` lists them");
    return exit_status::kRefused;
  }
  const auto got = GetConfig(world);
  if (const auto* failed = std::get_if<exit_status>(&got)) {
    return *failed;
  }
  const auto& config = std::get<fleet_config>(got);
  const policy_values values = config.ValuesFor(wanted.scope);
  if (json) {
    world.out << boost::json::serialize(
                     ValuesJson(config, values, wanted.setting))
              << '\n';
    return exit_status::kOk;
  }
  const std::string scope = ScopeText(wanted.scope);
  world.out << "configuration version " << config.version() << ", "
            << (scope.empty() ? "fleet-wide defaults"
                              : "values in force for " + scope)
            << "\n\n";
  text_table table({"SETTING", "VALUE", "ALLOWED", "MEANING"});
  for (const setting& which : AllSettings()) {
    if (wanted.setting.empty() || which.name == wanted.setting) {
      table.Add({std::string(which.name), TextOf(values, which),
                 AllowedText(which), std::string(which.description)});
    }
  }
  world.out << table.ToString();
  const std::string exceptions = ExceptionTable(config, wanted.setting);
  world.out << (exceptions.empty() ? "\nno exceptions\n" : '\n' + exceptions);
  return exit_status::kOk;
}

exit_status Run(const config_history_command& /*wanted*/,
                const surroundings& world,
                bool json) {
  const auto got = GetConfig(world);
  if (const auto* failed = std::get_if<exit_status>(&got)) {
    return *failed;
  }
  const auto& config = std::get<fleet_config>(got);
  if (json) {
    const boost::json::value document = boost::json::parse(config.ToJson());
    world.out << boost::json::serialize(document.at("history")) << '\n';
    return exit_status::kOk;
  }
  text_table table({"VERSION", "WHEN (UTC)", "OPERATOR", "CHANGE", "REASON"});
  for (const config_history_entry& entry : config.history()) {
    table.Add({std::to_string(entry.version.value()), entry.changed_at,
               entry.operator_name, entry.summary, entry.reason});
  }
  world.out << (table.empty() ? "no changes yet\n" : table.ToString());
  return exit_status::kOk;
}

exit_status Run(const config_wait_command& wanted,
                const surroundings& world,
                bool json) {
  constexpr milliseconds kPollInterval{200};
  const instant limit = world.now() + wanted.limit;
  while (true) {
    const auto got = GetStatus(world);
    if (const auto* failed = std::get_if<exit_status>(&got)) {
      return *failed;
    }
    const auto& status = std::get<status_page>(got);
    const std::string missing = MissingText(status, wanted.version);
    if (missing.empty()) {
      return ReportInForce(wanted, status, world, json);
    }
    if (world.now() >= limit) {
      return ReportMissing(wanted, missing, world, json);
    }
    world.sleep(kPollInterval);
  }
}

exit_status Run(const config_set_command& wanted,
                const surroundings& world,
                bool json) {
  return SendChange(set_default{wanted.setting, wanted.value}, wanted.options,
                    world, json);
}

exit_status Run(const except_add_command& wanted,
                const surroundings& world,
                bool json) {
  return SendChange(add_exception{{wanted.name, wanted.scope, wanted.setting,
                                   wanted.value, wanted.options.reason}},
                    wanted.options, world, json);
}

exit_status Run(const except_remove_command& wanted,
                const surroundings& world,
                bool json) {
  return SendChange(remove_exception{wanted.name}, wanted.options, world, json);
}

// An unknown endpoint is most likely misspelt, and the exception would have no
// effect.
exit_status Run(const drain_command& wanted,
                const surroundings& world,
                bool json) {
  const auto got = GetStatus(world);
  if (const auto* failed = std::get_if<exit_status>(&got)) {
    return *failed;
  }
  const auto& status = std::get<status_page>(got);
  const auto& endpoints = status.endpoints;
  const bool known = std::any_of(
      endpoints.begin(), endpoints.end(),
      [&](const auto& row) { return row.id == wanted.endpoint.value(); });
  if (!known) {
    Complain(world,
             "endpoint " + wanted.endpoint.value() + " is unknown to daemon " +
                 status.daemon,
             "`bluebellctl status --all` lists the endpoints; use `except add` "
             "for one that has yet to come");
    return exit_status::kRefused;
  }
  config_scope scope;
  scope.endpoint = wanted.endpoint;
  return SendChange(add_exception{{DrainName(wanted.endpoint), scope, "drain",
                                   "true", wanted.options.reason}},
                    wanted.options, world, json);
}

exit_status Run(const undrain_command& wanted,
                const surroundings& world,
                bool json) {
  return SendChange(remove_exception{DrainName(wanted.endpoint)},
                    wanted.options, world, json);
}

}  // namespace bluebell::ctl::internal
