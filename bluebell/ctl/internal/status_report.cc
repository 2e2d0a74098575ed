#include "bluebell/ctl/internal/status_report.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "bluebell/ctl/internal/text_table.h"

namespace bluebell::ctl::internal {

namespace {

// A rank counts as well if at most this part of its requests is refused.
constexpr std::uint64_t kWellRefusedPercent = 1;
// Longer than any proof may be old, with the default settings.
constexpr std::int64_t kOldProofMs = 600;

struct domain_counts {
  std::size_t daemons = 0;
  std::size_t live = 0;
  std::size_t endpoints = 0;
  std::size_t serving = 0;
};

std::map<std::string, domain_counts> CountDomains(const status_page& status) {
  std::map<std::string, domain_counts> domains;
  for (const daemon_row& daemon : status.daemons) {
    domain_counts& counts = domains[daemon.domain];
    ++counts.daemons;
    counts.live += daemon.live ? 1 : 0;
  }
  for (const endpoint_row& endpoint : status.endpoints) {
    domain_counts& counts = domains[endpoint.domain];
    ++counts.endpoints;
    counts.serving += endpoint.condition == "serving" ? 1 : 0;
  }
  return domains;
}

std::string Of(std::size_t part, std::size_t whole) {
  return std::to_string(part) + " of " + std::to_string(whole);
}

std::string AgeText(std::optional<std::int64_t> age_ms) {
  return age_ms ? std::to_string(*age_ms) + " ms ago" : "never";
}

std::string DaemonState(const daemon_row& daemon, const status_page& status) {
  if (!daemon.live) {
    return "not heard";
  }
  if (daemon.leaving) {
    return "leaving";
  }
  return daemon.config_version < status.config_version ? "config behind"
                                                       : "well";
}

std::string DomainState(const domain_counts& counts) {
  if (counts.daemons > 0 && counts.live == 0) {
    return "SILENT";
  }
  const bool complete =
      counts.live == counts.daemons && counts.serving == counts.endpoints;
  return complete ? "well" : "degraded";
}

rank_counts LastSecond(const rank_report& ranks, rank which) {
  return Between(ranks.earlier.ranks.at(RankIndex(which)),
                 ranks.later.ranks.at(RankIndex(which)));
}

std::string RankState(const rank_counts& counts) {
  const std::uint64_t all = counts.answered + counts.not_run + counts.unknown;
  if (all == 0) {
    return counts.waiting == 0 ? "no requests" : "WAITING";
  }
  if (counts.unknown > 0) {
    return "LOSING ANSWERS";
  }
  return counts.not_run * 100 > all * kWellRefusedPercent ? "REFUSING" : "well";
}

std::string BoundText(std::optional<double> bound_seconds) {
  if (!bound_seconds) {
    return "-";
  }
  if (std::isinf(*bound_seconds)) {
    return "over 30 s";
  }
  constexpr double kMillisecondsPerSecond = 1'000;
  const double bound_ms = *bound_seconds * kMillisecondsPerSecond;
  return bound_ms < 1 ? "1 ms" : std::to_string(std::llround(bound_ms)) + " ms";
}

// The first few names, so that the loss of a domain doesn't hide the rest.
std::string SomeOf(const std::vector<std::string>& names) {
  constexpr std::size_t kShown = 3;
  std::string text;
  for (std::size_t i = 0; i < std::min(names.size(), kShown); ++i) {
    text += (i == 0 ? "" : ", ") + names[i];
  }
  return names.size() <= kShown
             ? text
             : text + " and " + std::to_string(names.size() - kShown) +
                   " more; `bluebellctl status --all` lists them";
}

// One line for all daemons or endpoints of a domain in the same state.
void FindHostProblems(const status_page& status,
                      std::vector<std::string>& problems) {
  std::map<std::pair<std::string, std::string>, std::vector<std::string>> hosts;
  for (const daemon_row& daemon : status.daemons) {
    const std::string state = DaemonState(daemon, status);
    if (state == "not heard" || state == "config behind") {
      hosts[{"daemon " + state, daemon.domain}].push_back(daemon.id);
    }
  }
  for (const endpoint_row& endpoint : status.endpoints) {
    if (endpoint.condition != "serving") {
      hosts[{"endpoint " + endpoint.condition, endpoint.domain}].push_back(
          endpoint.id);
    }
  }
  for (const auto& [what, names] : hosts) {
    problems.push_back(what.first + " in " + what.second + ": " +
                       SomeOf(names));
  }
}

void FindServiceProblems(const service_row& service,
                         std::vector<std::string>& problems) {
  if (!service.keyed) {
    return;
  }
  const std::int64_t open = service.moving + service.unassigned;
  if (open > 0) {
    problems.push_back("service " + service.name + ": " + std::to_string(open) +
                       " of " + std::to_string(service.slices) +
                       " slices without owner; see `bluebellctl placement " +
                       service.name + "` for the cause");
  }
  if (!service.proof_age_ms || *service.proof_age_ms > kOldProofMs) {
    problems.push_back(
        "service " + service.name +
        ": the placement table was last proved current " +
        AgeText(service.proof_age_ms) +
        "; if the store is well, this daemon or its domain is cut off");
  }
}

void FindRankProblems(const rank_report& ranks,
                      std::vector<std::string>& problems) {
  for (const rank which : kRanks) {
    const rank_counts counts = LastSecond(ranks, which);
    const std::string name(ToString(which));
    if (counts.unknown > 0) {
      problems.push_back("rank " + name + ": " +
                         std::to_string(counts.unknown) +
                         " requests ended as unknown in the last second; look "
                         "for lost endpoints or daemons above");
    }
    if (RankState(counts) == "REFUSING") {
      problems.push_back("rank " + name + ": " +
                         std::to_string(counts.not_run) +
                         " requests refused in the last second; see "
                         "bluebell_refusals_total for the reason");
    }
  }
  for (const auto& [invariant, count] : ranks.later.violations) {
    problems.push_back("invariant \"" + invariant + "\" did not hold " +
                       std::to_string(count) +
                       " times; a defect, see the log for the state");
  }
}

std::string DomainTable(const status_page& status) {
  text_table table(
      {"FAILURE DOMAIN", "STATE", "DAEMONS LIVE", "ENDPOINTS SERVING"});
  for (const auto& [name, counts] : CountDomains(status)) {
    table.Add({name, DomainState(counts), Of(counts.live, counts.daemons),
               Of(counts.serving, counts.endpoints)});
  }
  return table.ToString();
}

std::string RankTable(const rank_report& ranks) {
  text_table table({"RANK", "STATE", "ANSWERED/S", "REFUSED/S", "UNKNOWN/S",
                    "99% WITHIN", "WAITING"});
  for (const rank which : kRanks) {
    const rank_counts counts = LastSecond(ranks, which);
    table.Add({std::string(ToString(which)), RankState(counts),
               std::to_string(counts.answered), std::to_string(counts.not_run),
               std::to_string(counts.unknown), BoundText(Bound99(counts)),
               std::to_string(counts.waiting)});
  }
  return table.ToString();
}

std::string ServiceTable(const status_page& status) {
  text_table table({"SERVICE", "SLICES OWNED", "MOVING", "UNASSIGNED", "TABLE",
                    "PROVED CURRENT"});
  for (const service_row& service : status.services) {
    if (!service.keyed) {
      table.Add({service.name, "any endpoint may take any request"});
      continue;
    }
    table.Add({service.name,
               std::to_string(service.owned) + " of " +
                   std::to_string(service.slices),
               std::to_string(service.moving),
               std::to_string(service.unassigned),
               "version " + std::to_string(service.table_version),
               AgeText(service.proof_age_ms)});
  }
  return table.ToString();
}

std::string DaemonTable(const status_page& status, bool all) {
  text_table table({"DAEMON", "STATE", "DOMAIN", "CONFIG", "HEARD"});
  for (const daemon_row& daemon : status.daemons) {
    const std::string state = DaemonState(daemon, status);
    if (all || state != "well") {
      table.Add({daemon.id, state, daemon.domain,
                 "version " + std::to_string(daemon.config_version),
                 AgeText(daemon.last_heard_ms)});
    }
  }
  return table.ToString();
}

std::string EndpointTable(const status_page& status, bool all) {
  text_table table({"ENDPOINT", "STATE", "SERVICE", "DOMAIN", "DISPATCHER"});
  for (const endpoint_row& endpoint : status.endpoints) {
    if (all || endpoint.condition != "serving") {
      table.Add({endpoint.id,
                 endpoint.condition == "serving" ? "well" : endpoint.condition,
                 endpoint.service, endpoint.domain, endpoint.dispatcher});
    }
  }
  return table.ToString();
}

void AppendPart(std::string& text, const std::string& part) {
  if (!part.empty()) {
    text += '\n' + part;
  }
}

}  // namespace

std::vector<std::string> FindProblems(const status_page& status,
                                      const rank_report& ranks) {
  std::vector<std::string> problems;
  if (!status.store_reachable) {
    problems.push_back("store: last read " +
                       AgeText(status.store_last_read_ms) +
                       "; no slice can move and no configuration can change "
                       "until it is back, all else goes on");
  }
  for (const auto& [name, counts] : CountDomains(status)) {
    if (DomainState(counts) == "SILENT") {
      problems.push_back(
          "failure domain " + name +
          ": no daemon is heard; its keys get new owners after "
          "domain_autonomy_ms, sooner if you know that its hosts are off and "
          "use `bluebellctl domain-lost`");
    }
  }
  FindHostProblems(status, problems);
  for (const service_row& service : status.services) {
    FindServiceProblems(service, problems);
  }
  FindRankProblems(ranks, problems);
  return problems;
}

std::string StatusText(const status_page& status,
                       const rank_report& ranks,
                       bool all) {
  std::string text = "region " + status.region + " as " + status.daemon +
                     " in " + status.domain +
                     " sees it, configuration version " +
                     std::to_string(status.config_version) + "\n";
  const std::vector<std::string> problems = FindProblems(status, ranks);
  if (problems.empty()) {
    text += "all is well\n";
  } else {
    text += std::to_string(problems.size()) + " problem" +
            (problems.size() == 1 ? "" : "s") + ":\n";
    for (const std::string& problem : problems) {
      text += "  " + problem + '\n';
    }
  }
  AppendPart(
      text,
      "store: " +
          std::string(status.store_reachable ? "reachable" : "NOT REACHABLE") +
          ", last read " + AgeText(status.store_last_read_ms) + '\n');
  AppendPart(text, DomainTable(status));
  AppendPart(text, "Requests at " + status.daemon + " in the last second:\n" +
                       RankTable(ranks));
  AppendPart(text, ServiceTable(status));
  AppendPart(text, DaemonTable(status, all));
  AppendPart(text, EndpointTable(status, all));
  return text;
}

}  // namespace bluebell::ctl::internal
