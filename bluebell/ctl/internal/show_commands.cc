#include "bluebell/ctl/internal/show_commands.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "bluebell/core/time_text.h"
#include "bluebell/ctl/internal/admin_page.h"
#include "bluebell/ctl/internal/exchange.h"
#include "bluebell/ctl/internal/rank_summary.h"
#include "bluebell/ctl/internal/status_report.h"
#include "bluebell/ctl/internal/text_table.h"

namespace bluebell::ctl::internal {

exit_status Run(const status_command& wanted,
                const surroundings& world,
                bool json) {
  constexpr milliseconds kRankPeriod{1'000};
  const auto body = Get(world, "/status");
  if (const auto* failed = std::get_if<exit_status>(&body)) {
    return *failed;
  }
  if (json) {
    world.out << std::get<std::string>(body) << '\n';
    return exit_status::kOk;
  }
  const auto status = ReadStatus(std::get<std::string>(body));
  if (!status) {
    return Unreadable(world, status.error());
  }
  const auto earlier = Get(world, "/metrics");
  if (const auto* failed = std::get_if<exit_status>(&earlier)) {
    return *failed;
  }
  world.sleep(kRankPeriod);
  const auto later = Get(world, "/metrics");
  if (const auto* failed = std::get_if<exit_status>(&later)) {
    return *failed;
  }
  const rank_report ranks{ReadMetrics(std::get<std::string>(earlier)),
                          ReadMetrics(std::get<std::string>(later))};
  world.out << StatusText(status.value(), ranks, wanted.all);
  return exit_status::kOk;
}

exit_status Run(const placement_command& wanted,
                const surroundings& world,
                bool json) {
  const auto body = Get(world, "/placement");
  if (const auto* failed = std::get_if<exit_status>(&body)) {
    return *failed;
  }
  if (json && wanted.service.value().empty()) {
    world.out << std::get<std::string>(body) << '\n';
    return exit_status::kOk;
  }
  const auto tables = ReadPlacement(std::get<std::string>(body));
  if (!tables) {
    return Unreadable(world, tables.error());
  }
  bool found = false;
  for (const placement_row& table : tables.value()) {
    if (!wanted.service.value().empty() &&
        table.service != wanted.service.value()) {
      continue;
    }
    found = true;
    world.out << "service " << table.service << ", table version "
              << table.version << '\n';
    text_table rows(
        {"FIRST", "LAST", "STATE", "OWNER", "DOMAIN", "EPOCH", "CAUSE"});
    for (const slice_row& slice : table.slices) {
      rows.Add({slice.first, slice.last, slice.state, slice.owner, slice.domain,
                std::to_string(slice.epoch), slice.cause});
    }
    world.out << rows.ToString();
  }
  if (!found) {
    Complain(world,
             "there is no placement table of service \"" +
                 wanted.service.value() + "\"",
             "`bluebellctl status` lists the services; only those with owned "
             "keys have a table");
    return exit_status::kRefused;
  }
  return exit_status::kOk;
}

namespace {

void PrintExplanation(const explain_page& page, const surroundings& world) {
  world.out << "service " << page.service << ", hash " << page.hash
            << ", in slice " << page.slice.first << " to " << page.slice.last
            << "\nstate: " << page.slice.state;
  if (!page.slice.owner.empty()) {
    world.out << (page.slice.state == "moving" ? ", away from " : " by ")
              << page.slice.owner << " in " << page.slice.domain;
  }
  world.out << ", epoch " << page.slice.epoch << '\n';
  if (page.since_ms) {
    world.out << "since: " << *page.since_ms << " ms ago\n";
  }
  if (!page.slice.cause.empty()) {
    world.out << "cause: " << page.slice.cause << '\n';
  }
  if (!page.dispatcher.empty()) {
    world.out << "dispatcher: " << page.dispatcher << '\n';
  }
  for (const std::string& line : page.evidence) {
    world.out << "evidence: " << line << '\n';
  }
}

void PrintDecisions(const std::vector<decision_row>& decisions,
                    const surroundings& world) {
  text_table table(
      {"WHEN (UTC)", "STEP", "SERVICE", "RANK", "ENDPOINT", "EPOCH", "WHY"});
  for (const decision_row& row : decisions) {
    table.Add({ToIso8601(wall_instant(milliseconds(row.unix_ms))), row.step,
               row.service, row.rank, row.endpoint,
               row.endpoint.empty() ? "" : std::to_string(row.epoch), row.why});
  }
  world.out << table.ToString();
}

}  // namespace

exit_status Run(const explain_key_command& wanted,
                const surroundings& world,
                bool json) {
  const auto body =
      Get(world, "/explain?service=" + EscapeQuery(wanted.service.value()) +
                     "&key=" + EscapeQuery(wanted.key));
  if (const auto* failed = std::get_if<exit_status>(&body)) {
    return *failed;
  }
  if (json) {
    world.out << std::get<std::string>(body) << '\n';
    return exit_status::kOk;
  }
  const auto page = ReadExplain(std::get<std::string>(body));
  if (!page) {
    return Unreadable(world, page.error());
  }
  PrintExplanation(page.value(), world);
  return exit_status::kOk;
}

exit_status Run(const explain_request_command& wanted,
                const surroundings& world,
                bool json) {
  const auto body = Get(world, "/explain?request=" + wanted.id.ToString());
  if (const auto* failed = std::get_if<exit_status>(&body)) {
    return *failed;
  }
  const auto decisions = ReadDecisions(std::get<std::string>(body));
  if (!decisions) {
    return Unreadable(world, decisions.error());
  }
  if (decisions.value().empty()) {
    Complain(
        world,
        "the daemon remembers no decision on request " + wanted.id.ToString(),
        "ask the entry daemon that the caller was connected to, soon "
        "after the request, or search the logs for the id");
    return exit_status::kRefused;
  }
  if (json) {
    world.out << std::get<std::string>(body) << '\n';
  } else {
    PrintDecisions(decisions.value(), world);
  }
  return exit_status::kOk;
}

// A domain with a daemon that was heard is not gone, whatever the operator
// believes.
exit_status Run(const domain_lost_command& wanted,
                const surroundings& world,
                bool json) {
  const auto got = GetStatus(world);
  if (const auto* failed = std::get_if<exit_status>(&got)) {
    return *failed;
  }
  const auto& status = std::get<status_page>(got);
  const auto& daemons = status.daemons;
  const auto alive =
      std::find_if(daemons.begin(), daemons.end(), [&](const auto& row) {
        return row.live && row.domain == wanted.domain.value();
      });
  if (alive != daemons.end()) {
    Complain(world,
             "failure domain " + wanted.domain.value() +
                 " is not lost: daemon " + alive->id + " is live",
             "drain its endpoints instead, or stop its hosts first");
    return exit_status::kRefused;
  }
  const std::string statement = boost::json::serialize(
      boost::json::object{{"domain", wanted.domain.value()},
                          {"operator", wanted.operator_name},
                          {"reason", wanted.reason}});
  const auto reply = Exchange(world, {"POST", "/domain-lost", statement});
  if (const auto* failed = std::get_if<exit_status>(&reply)) {
    return *failed;
  }
  if (json) {
    world.out << std::get<std::string>(reply) << '\n';
  } else {
    world.out << "failure domain " << wanted.domain
              << " is declared lost; its slices get new owners\nnext: "
                 "`bluebellctl status` shows the slices that still have none\n";
  }
  return exit_status::kOk;
}

}  // namespace bluebell::ctl::internal
