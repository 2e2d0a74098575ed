#include "bluebell/ctl/command_line.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <exception>
#include <map>
#include <utility>

#include <docopt/docopt.h>
#include <boost/outcome/try.hpp>

#include "bluebell/core/result.h"

namespace bluebell::ctl {

namespace {

using arguments_map = std::map<std::string, docopt::value>;

error Usage(std::string what, std::string detail) {
  return {errc::kInvalidArgument, step::kParseRequest, std::move(what),
          std::move(detail)};
}

bool Flag(const arguments_map& given, const std::string& name) {
  const auto found = given.find(name);
  return found != given.end() && found->second.isBool() &&
         found->second.asBool();
}

std::string Text(const arguments_map& given, const std::string& name) {
  const auto found = given.find(name);
  return found != given.end() && found->second.isString()
             ? found->second.asString()
             : std::string();
}

bool IsGiven(const arguments_map& given, const std::string& name) {
  const auto found = given.find(name);
  return found != given.end() && found->second.isString();
}

result<std::uint64_t> Number(const arguments_map& given,
                             const std::string& name) {
  const std::string text = Text(given, name);
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return Usage(name, "\"" + text + "\" is not a whole number");
  }
  return number;
}

bool GivesAdmin(const arguments_map& given) {
  const auto found = given.find("--admin");
  return found != given.end() && found->second.isStringList() &&
         !found->second.asStringList().empty();
}

result<std::vector<address>> AdminAddresses(const arguments_map& given,
                                            const variables& environment) {
  std::vector<std::string> texts;
  if (GivesAdmin(given)) {
    texts = given.at("--admin").asStringList();
  }
  if (texts.empty()) {
    std::string_view rest = environment.admin;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      texts.emplace_back(rest.substr(0, comma));
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }
  if (texts.empty()) {
    return Usage("--admin",
                 "no daemon to talk to; give --admin IP:PORT or set "
                 "BLUEBELL_ADMIN, for example BLUEBELL_ADMIN=127.0.0.1:8081");
  }
  std::vector<address> addresses;
  for (const std::string& text : texts) {
    const auto parsed = address::Parse(text);
    if (!parsed) {
      return Usage("--admin", "\"" + text + "\" is not IP:PORT");
    }
    addresses.push_back(parsed.value());
  }
  return addresses;
}

result<std::string> Operator(const arguments_map& given,
                             const variables& environment) {
  std::string name = IsGiven(given, "--operator") ? Text(given, "--operator")
                                                  : environment.operator_name;
  if (name.empty()) {
    return Usage("--operator", "give your name, or set BLUEBELL_OPERATOR");
  }
  return name;
}

result<change_options> ChangeOptions(const arguments_map& given,
                                     const variables& environment) {
  change_options options;
  options.reason = Text(given, "--reason");
  if (options.reason.find_first_not_of(" \t\n") == std::string::npos) {
    return Usage("--reason", "write why; it is kept in the history");
  }
  BOOST_OUTCOME_TRY(options.operator_name, Operator(given, environment));
  if (IsGiven(given, "--base")) {
    BOOST_OUTCOME_TRY(const std::uint64_t base, Number(given, "--base"));
    options.base = config_version(base);
  }
  return options;
}

config_scope Scope(const arguments_map& given) {
  return {service_name(Text(given, "--service")),
          domain_name(Text(given, "--domain")),
          endpoint_id(Text(given, "--endpoint")),
          caller_name(Text(given, "--caller"))};
}

result<command> ConfigCommand(const arguments_map& given,
                              const variables& environment) {
  if (Flag(given, "history")) {
    return command(config_history_command{});
  }
  if (Flag(given, "wait")) {
    BOOST_OUTCOME_TRY(const std::uint64_t version, Number(given, "VERSION"));
    BOOST_OUTCOME_TRY(const std::uint64_t limit, Number(given, "--timeout"));
    constexpr std::uint64_t kMaxSeconds = 86'400;
    if (limit > kMaxSeconds) {
      return Usage("--timeout", "allowed: 0 to 86400 seconds");
    }
    return command(
        config_wait_command{config_version(version), seconds(limit)});
  }
  if (Flag(given, "check")) {
    return command(config_check_command{Text(given, "FILE")});
  }
  if (Flag(given, "set")) {
    BOOST_OUTCOME_TRY(change_options options,
                      ChangeOptions(given, environment));
    return command(config_set_command{
        Text(given, "SETTING"), Text(given, "VALUE"), std::move(options)});
  }
  return command(config_get_command{Text(given, "SETTING"), Scope(given)});
}

result<command> ChangeCommand(const arguments_map& given,
                              const variables& environment) {
  BOOST_OUTCOME_TRY(change_options options, ChangeOptions(given, environment));
  if (Flag(given, "drain")) {
    return command(
        drain_command{endpoint_id(Text(given, "ENDPOINT")), options});
  }
  if (Flag(given, "undrain")) {
    return command(
        undrain_command{endpoint_id(Text(given, "ENDPOINT")), options});
  }
  if (Flag(given, "domain-lost")) {
    return command(domain_lost_command{domain_name(Text(given, "DOMAIN")),
                                       options.reason, options.operator_name});
  }
  if (Flag(given, "remove")) {
    return command(except_remove_command{Text(given, "NAME"), options});
  }
  const config_scope scope = Scope(given);
  if (scope == config_scope()) {
    return Usage("except add",
                 "give a scope: --service, --domain, --endpoint or --caller; "
                 "use `config set` for what applies everywhere");
  }
  return command(except_add_command{Text(given, "NAME"), scope,
                                    Text(given, "SETTING"),
                                    Text(given, "VALUE"), options});
}

result<command> ReadCommand(const arguments_map& given) {
  if (Flag(given, "status")) {
    return command(status_command{Flag(given, "--all")});
  }
  if (Flag(given, "placement")) {
    return command(placement_command{service_name(Text(given, "SERVICE"))});
  }
  if (!IsGiven(given, "--request")) {
    return command(explain_key_command{service_name(Text(given, "SERVICE")),
                                       Text(given, "KEY")});
  }
  BOOST_OUTCOME_TRY(const request_id id,
                    request_id::Parse(Text(given, "--request")));
  return command(explain_request_command{id});
}

result<invocation> Interpret(const arguments_map& given,
                             const variables& environment) {
  const bool changes = Flag(given, "except") || Flag(given, "drain") ||
                       Flag(given, "undrain") || Flag(given, "domain-lost");
  invocation made;
  if (Flag(given, "config")) {
    BOOST_OUTCOME_TRY(made.what, ConfigCommand(given, environment));
  } else if (changes) {
    BOOST_OUTCOME_TRY(made.what, ChangeCommand(given, environment));
  } else {
    BOOST_OUTCOME_TRY(made.what, ReadCommand(given));
  }
  // Without a daemon, changes can be checked in part.
  const bool needs_daemon =
      !std::holds_alternative<config_check_command>(made.what) ||
      !environment.admin.empty() || GivesAdmin(given);
  if (needs_daemon) {
    BOOST_OUTCOME_TRY(made.admin, AdminAddresses(given, environment));
  }
  made.json = Flag(given, "--json");
  return made;
}

std::string MismatchText(const std::vector<std::string>& arguments) {
  const std::string first = arguments.empty() ? "" : arguments.front();
  const bool has_reason = std::any_of(
      arguments.begin(), arguments.end(),
      [](const std::string& text) { return text.starts_with("--reason"); });
  const bool changes = first == "except" || first == "drain" ||
                       first == "undrain" || first == "domain-lost";
  return changes && !has_reason
             ? "a change needs --reason TEXT, which is kept in the history"
             : "these arguments don't fit together";
}

// The lines of the usage that begin with the command that was given, or all.
std::string UsageFor(const std::vector<std::string>& arguments) {
  const std::string help(HelpText());
  const std::size_t start = help.find("Usage:");
  const std::string usage =
      help.substr(start, help.find("\n\n", start) - start);
  const std::string first = arguments.empty() ? "" : arguments.front();
  std::string matching;
  std::string all;
  std::size_t position = usage.find('\n') + 1;
  while (position < usage.size()) {
    const std::size_t end = std::min(usage.find('\n', position), usage.size());
    const std::string line = usage.substr(position, end - position) + '\n';
    all += line;
    if (!first.empty() && line.find("bluebellctl " + first) == 2) {
      matching += line;
    }
    position = end + 1;
  }
  return matching.empty() ? all : matching;
}

}  // namespace

std::variant<invocation, help_wanted, usage_error> ParseCommandLine(
    const std::vector<std::string>& arguments,
    const variables& environment) {
  arguments_map given;
  try {
    given =
        docopt::docopt_parse(std::string(HelpText()), arguments, true, false);
  } catch (const docopt::DocoptExitHelp&) {
    return help_wanted{std::string(HelpText())};
  } catch (const std::exception& failure) {
    return usage_error{"bluebellctl: " + MismatchText(arguments) + '\n' +
                       UsageFor(arguments) +
                       "`bluebellctl --help` explains them with examples.\n"};
  }
  const result<invocation> made = Interpret(given, environment);
  if (!made) {
    return usage_error{"bluebellctl: " + made.error().peer() + ": " +
                       made.error().detail() + '\n'};
  }
  return made.value();
}

}  // namespace bluebell::ctl
