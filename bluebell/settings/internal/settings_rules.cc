#include "bluebell/settings/internal/settings_rules.h"

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace bluebell::internal {

namespace {

std::string Indexed(std::string_view list,
                    std::size_t index,
                    std::string_view field) {
  std::string path(list);
  path.append("[").append(std::to_string(index)).append("].").append(field);
  return path;
}

std::string Quoted(const std::string& text) {
  return '"' + text + '"';
}

// Adds a problem for each value that also occurs at an earlier path.
class distinct_values {
 public:
  explicit distinct_values(problem_list& problems) : problems_(problems) {}

  void Check(const std::string& path, const std::string& value) {
    if (!problems_.AllValid({path})) {
      return;
    }
    const auto [first_path, is_new] = seen_.emplace(value, path);
    if (!is_new) {
      problems_.Add(path, Quoted(value),
                    "a value that differs from " + first_path->second);
    }
  }

 private:
  problem_list& problems_;
  std::map<std::string, std::string> seen_;
};

bool IsWildcard(const address& listen_address) {
  return listen_address.ip() == "0.0.0.0" || listen_address.ip() == "::";
}

// A listener on all local addresses conflicts with any other listener on the
// same port.
void CheckListeners(const daemon_settings& settings, problem_list& problems) {
  using listener = std::pair<std::string_view, const address*>;
  const auto listeners =
      std::to_array<listener>({{"caller_listen", &settings.caller_listen},
                               {"admin_listen", &settings.admin_listen},
                               {"peer_listen", &settings.peer_listen},
                               {"platform", &settings.platform}});
  for (const auto& [path, listen_address] : listeners) {
    for (const auto& [other_path, other_address] : listeners) {
      if (other_address == listen_address) {
        break;
      }
      const bool same_ip =
          listen_address->ip() == other_address->ip() ||
          (path != "platform" &&
           (IsWildcard(*listen_address) || IsWildcard(*other_address)));
      if (problems.AllValid({path, other_path}) && same_ip &&
          listen_address->port() == other_address->port()) {
        problems.Add(
            std::string(path), Quoted(listen_address->ToString()),
            "an address that doesn't collide with " + std::string(other_path));
      }
    }
  }
}

struct timing_rule {
  std::string_view smaller;
  milliseconds smaller_value;
  std::string_view larger;
  milliseconds larger_value;
};

std::string MillisText(milliseconds value) {
  return std::to_string(value.count());
}

}  // namespace

void CheckIdentities(const daemon_settings& settings, problem_list& problems) {
  CheckListeners(settings, problems);
  distinct_values ids(problems);
  distinct_values addresses(problems);
  ids.Check("id", settings.id.value());
  addresses.Check("peer_listen", settings.peer_listen.ToString());
  for (std::size_t i = 0; i < settings.peers.size(); ++i) {
    const peer_settings& peer = settings.peers[i];
    ids.Check(Indexed("peers", i, "id"), peer.id.value());
    addresses.Check(Indexed("peers", i, "peer_address"),
                    peer.peer_address.ToString());
  }
}

void CheckServices(const daemon_settings& settings, problem_list& problems) {
  distinct_values names(problems);
  for (std::size_t i = 0; i < settings.services.size(); ++i) {
    const service_spec& service = settings.services[i];
    names.Check(Indexed("services", i, "name"), service.name.value());
    const std::string slots = Indexed("services", i, "slots");
    const std::string connections = Indexed("services", i, "connections");
    // Each running request uses one connection.
    if (problems.AllValid({slots, connections}) &&
        service.connections < service.slots) {
      problems.Add(
          connections, std::to_string(service.connections),
          "at least " + slots + ", which is " + std::to_string(service.slots));
    }
    // If endpoints don't check epochs, only the wait for delayed requests
    // prevents two owners of a key at the same time.
    if (problems.AllValid({"timing.max_order_delay_ms"}) && service.keyed &&
        !service.checks_epoch && settings.timing.max_order_delay.count() == 0) {
      problems.Add("timing.max_order_delay_ms", "0",
                   "at least 1, since " + Indexed("services", i, "name") +
                       " has owned keys and checks no epochs");
    }
  }
}

void CheckTiming(const daemon_settings& settings, problem_list& problems) {
  const timing_settings& timing = settings.timing;
  const auto rules = std::to_array<timing_rule>({
      // A lease must be renewed before it expires.
      {"timing.lease_renewal_ms", timing.lease_renewal, "timing.lease_term_ms",
       timing.lease_term},
      // A single late heartbeat must not count as the loss of a daemon.
      {"timing.heartbeat_interval_ms", timing.heartbeat_interval,
       "timing.detection_ms", timing.detection},
      // The proof that a table is current must be renewed before it is too old.
      {"timing.table_read_interval_ms", timing.table_read_interval,
       "timing.table_freshness_ms", timing.table_freshness},
      // The autonomy of a domain begins when the freshness ends.
      {"timing.table_freshness_ms", timing.table_freshness,
       "timing.domain_autonomy_ms", timing.domain_autonomy},
      // The second proposer must not wait longer than the detection of the
      // first
      // one's loss takes.
      {"timing.proposer_step_ms", timing.proposer_step, "timing.detection_ms",
       timing.detection},
  });
  for (const timing_rule& rule : rules) {
    if (problems.AllValid({rule.smaller, rule.larger}) &&
        rule.smaller_value >= rule.larger_value) {
      problems.Add(std::string(rule.smaller), MillisText(rule.smaller_value),
                   "less than " + std::string(rule.larger) + ", which is " +
                       MillisText(rule.larger_value));
    }
  }
  // Daemons that don't read the store get the proof by heartbeat, where it is
  // older by one heartbeat interval.
  const milliseconds max_proof_age =
      timing.table_read_interval + timing.heartbeat_interval;
  if (problems.AllValid({"timing.table_read_interval_ms",
                         "timing.heartbeat_interval_ms",
                         "timing.table_freshness_ms"}) &&
      max_proof_age >= timing.table_freshness) {
    problems.Add("timing.table_freshness_ms",
                 MillisText(timing.table_freshness),
                 "more than table_read_interval_ms + heartbeat_interval_ms, "
                 "which is " +
                     MillisText(max_proof_age));
  }
}

}  // namespace bluebell::internal
