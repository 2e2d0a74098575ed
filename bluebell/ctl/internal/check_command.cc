#include "bluebell/ctl/internal/check_command.h"

#include <string>
#include <utility>
#include <variant>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "bluebell/config/config_check.h"
#include "bluebell/ctl/internal/admin_page.h"
#include "bluebell/ctl/internal/exchange.h"
#include "bluebell/ctl/internal/text_table.h"

namespace bluebell::ctl::internal {

namespace {

// The daemon doesn't list callers.
known_fleet FleetOf(const status_page& status) {
  known_fleet fleet;
  for (const daemon_row& daemon : status.daemons) {
    fleet.domains.insert(domain_name(daemon.domain));
  }
  for (const service_row& service : status.services) {
    fleet.services.insert(service_name(service.name));
  }
  for (const endpoint_row& endpoint : status.endpoints) {
    const known_endpoint known{endpoint_id(endpoint.id),
                               service_name(endpoint.service),
                               domain_name(endpoint.domain)};
    fleet.services.insert(known.service);
    fleet.domains.insert(known.domain);
    fleet.endpoints.push_back(known);
  }
  return fleet;
}

std::variant<check_context, exit_status> ContextFrom(
    const surroundings& world) {
  auto config = GetConfig(world);
  if (const auto* failed = std::get_if<exit_status>(&config)) {
    return *failed;
  }
  auto status = GetStatus(world);
  if (const auto* failed = std::get_if<exit_status>(&status)) {
    return *failed;
  }
  return check_context{std::move(std::get<fleet_config>(config)),
                       FleetOf(std::get<status_page>(status))};
}

boost::json::object ToJson(const config_check& checked,
                           const check_context& context) {
  boost::json::array findings;
  for (const config_finding& each : checked.findings) {
    findings.push_back(boost::json::object{{"kind", KindOf(each)},
                                           {"change", PlaceOf(each).change},
                                           {"place", Describe(PlaceOf(each))},
                                           {"detail", Describe(each)}});
  }
  boost::json::array differences;
  for (const config_difference& each : checked.differences) {
    differences.push_back(boost::json::object{
        {"what", each.what}, {"before", each.before}, {"after", each.after}});
  }
  boost::json::object object{{"findings", findings}};
  if (context.in_force) {
    object["version"] = context.in_force->version().value();
    object["differences"] = differences;
  }
  return object;
}

void Print(const config_check& checked,
           const check_context& context,
           const surroundings& world) {
  for (const config_finding& each : checked.findings) {
    world.out << Describe(PlaceOf(each)) << ": " << KindOf(each) << ": "
              << Describe(each) << '\n';
  }
  world.out << (checked.findings.empty()
                    ? "nothing found\n"
                    : std::to_string(checked.findings.size()) + " found\n");
  if (!context.in_force) {
    world.out << "checked against the built-in defaults; give --admin to check "
                 "against the version in force\n";
    return;
  }
  const std::string version =
      std::to_string(context.in_force->version().value());
  text_table table({"DIFFERENCE", "VERSION " + version, "AFTERWARDS"});
  for (const config_difference& each : checked.differences) {
    table.Add({each.what, each.before.empty() ? "-" : each.before,
               each.after.empty() ? "-" : each.after});
  }
  world.out << (table.empty()
                    ? "\nno differences from version " + version + '\n'
                    : '\n' + table.ToString());
}

exit_status ReportUnreadable(const surroundings& world, const error& failure) {
  Complain(world, failure.ToString(),
           "the file holds one change or a list of changes in JSON; see the "
           "section on `config check` of the operations manual");
  return exit_status::kUnreadableFile;
}

}  // namespace

exit_status Run(const config_check_command& wanted,
                bool has_daemon,
                const surroundings& world,
                bool json) {
  const result<std::string> text = world.read_file(wanted.file);
  if (!text) {
    return ReportUnreadable(world, text.error());
  }
  const auto changes = ReadConfigChanges(text.value());
  if (!changes) {
    const error& fault = changes.error();
    return ReportUnreadable(
        world, error(fault.code(), fault.at(),
                     wanted.file + ", " + fault.peer(), fault.detail()));
  }
  check_context context;
  if (has_daemon) {
    auto known = ContextFrom(world);
    if (const auto* failed = std::get_if<exit_status>(&known)) {
      return *failed;
    }
    context = std::move(std::get<check_context>(known));
  }
  const config_check checked = CheckConfigChanges(changes.value(), context);
  if (json) {
    world.out << boost::json::serialize(ToJson(checked, context)) << '\n';
  } else {
    Print(checked, context, world);
  }
  return checked.findings.empty() ? exit_status::kOk : exit_status::kFindings;
}

}  // namespace bluebell::ctl::internal
