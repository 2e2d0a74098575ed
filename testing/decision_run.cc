#include "testing/decision_run.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include "bluebell/placement/table_json.h"

namespace bluebell {

namespace {

class fault_injector {
 public:
  explicit fault_injector(decision_world& world, sim_time end)
      : world_(world), end_(end) {
    ScheduleFault();
    ScheduleChange();
  }

  // The change ids that operators were told are accepted.
  const std::map<std::uint64_t, std::string>& accepted() const {
    return accepted_;
  }

 private:
  std::uint64_t Random(std::uint64_t bound) {
    return world_.random()() % bound;
  }

  sim_time Length() {
    // Most faults are short, some outlast every timeout.
    const std::uint64_t most = Random(4) == 0 ? 15'000 : 2'000;
    return milliseconds(50 + Random(most));
  }

  void ScheduleFault() {
    world_.After(milliseconds(100 + Random(1'500)), [this] {
      if (world_.now() >= end_) {
        return;
      }
      Inject();
      if (Random(4) == 0) {
        Inject();
      }
      ScheduleFault();
    });
  }

  void Inject() {
    ++world_.counts().faults;
    const sim_time until = world_.now() + Length();
    const std::size_t daemon = Random(world_.daemons().size());
    const std::size_t endpoint = Random(world_.endpoints().size());
    const std::string domain = "domain-" + std::to_string(Random(3));
    const std::string other = "domain-" + std::to_string(Random(3));
    const std::uint64_t kind = Random(14);
    world_.Trace("fault " + std::to_string(kind),
                 "daemon " + std::to_string(daemon) + " endpoint " +
                     std::to_string(endpoint) + ' ' + domain + ' ' + other +
                     " until " + std::to_string(until.count() / 1'000'000));
    switch (kind) {
      case 0:
        world_.daemons()[daemon].paused_until = until;
        break;
      case 1:
        StopDaemonUntil(daemon, until);
        break;
      case 2:
        world_.endpoints()[endpoint].frozen_until = until;
        break;
      case 3:
        StopEndpointUntil(endpoint, until);
        break;
      case 4:
        world_.store().down_until = until;
        break;
      case 5:
        world_.store().slow_until = until;
        break;
      case 6:
        world_.store().losing_answers_until = until;
        break;
      case 7:
        // The platform is cut off from all.
        world_.network().Split({decision_world::kPlatform}, until);
        break;
      case 8:
        // Two failure domains together lose the third and the platform.
        SplitDomains({domain, other}, until);
        break;
      case 9:
        SplitDomains({domain}, until);
        break;
      case 10:
        SplitSome(daemon, until);
        break;
      case 11:
        StopDomain(domain, until);
        break;
      case 12:
        Drain(endpoint, until);
        break;
      case 13:
        world_.network().Slow(until);
        break;
    }
  }

  void StopDaemonUntil(std::size_t index, sim_time until) {
    world_.StopDaemon(index);
    world_.After(until - world_.now(), [this, index] {
      if (!world_.daemons()[index].state) {
        world_.StartDaemon(index);
      }
    });
  }

  void StopEndpointUntil(std::size_t index, sim_time until) {
    world_.StopEndpoint(index);
    world_.After(until - world_.now(), [this, index] {
      if (!world_.endpoints()[index].model) {
        world_.StartEndpoint(index);
      }
    });
  }

  void StopDomain(const std::string& domain, sim_time until) {
    for (std::size_t i = 0; i < world_.daemons().size(); ++i) {
      if (world_.daemons()[i].settings.domain.value() == domain) {
        StopDaemonUntil(i, until);
      }
    }
    // Half of the time the endpoints go too.
    if (Random(2) == 0) {
      return;
    }
    for (std::size_t i = 0; i < world_.endpoints().size(); ++i) {
      if (world_.endpoints()[i].host.domain.value() == domain) {
        StopEndpointUntil(i, until);
      }
    }
  }

  // Cuts domains off from the platform and all else.
  void SplitDomains(const std::set<std::string>& domains, sim_time until) {
    std::set<std::string> group;
    for (const sim_daemon& daemon : world_.daemons()) {
      if (domains.contains(daemon.settings.domain.value())) {
        group.insert(daemon.settings.id.value());
      }
    }
    for (const sim_endpoint& endpoint : world_.endpoints()) {
      if (domains.contains(endpoint.host.domain.value())) {
        group.insert(endpoint.host.name);
      }
    }
    world_.network().Split(std::move(group), until);
  }

  // Separates a daemon, sometimes with its neighbours, and an endpoint of its
  // domain that it may go on serving alone.
  void SplitSome(std::size_t daemon, sim_time until) {
    const domain_name domain = world_.daemons()[daemon].settings.domain;
    std::set<std::string> group = {
        world_.daemons()[daemon].settings.id.value()};
    for (const sim_daemon& other : world_.daemons()) {
      if (other.settings.domain == domain && Random(3) == 0) {
        group.insert(other.settings.id.value());
      }
    }
    for (const sim_endpoint& endpoint : world_.endpoints()) {
      if (endpoint.host.domain == domain && Random(2) == 0) {
        group.insert(endpoint.host.name);
      }
    }
    world_.network().Split(std::move(group), until);
  }

  void Drain(std::size_t index, sim_time until) {
    world_.endpoints()[index].host.state = host_state::kLeaving;
    world_.After(until - world_.now(), [this, index] {
      world_.endpoints()[index].host.state = host_state::kLive;
    });
  }

  // Two operators who race, through daemons that may not see the same version.
  void ScheduleChange() {
    world_.After(milliseconds(500 + Random(3'000)), [this] {
      if (world_.now() >= end_) {
        return;
      }
      Change();
      Change();
      ScheduleChange();
    });
  }

  void Change() {
    const std::size_t index = Random(world_.daemons().size());
    const sim_daemon& daemon = world_.daemons()[index];
    if (!daemon.state || !daemon.snapshot) {
      return;
    }
    const std::uint64_t number = ++changes_;
    const std::string reason = "change " + std::to_string(number);
    const config_change change{
        daemon.snapshot->config.version(), "operator", reason,
        set_default{"retry_budget_percent", std::to_string(number % 50)}};
    world_.AskOperator(index, change,
                       [this, number, reason](const operator_reply& reply) {
                         if (reply.status == 200) {
                           accepted_[number] = reason;
                           ++world_.counts().config_changes;
                         }
                       });
  }

  decision_world& world_;
  sim_time end_;
  std::uint64_t changes_ = 0;
  std::map<std::uint64_t, std::string> accepted_;
};

void CheckConfig(decision_world& world, const fault_injector& faults) {
  const auto stored = world.store().values.find("config");
  fleet_config final_config;
  if (stored != world.store().values.end() && !stored->second.value.empty()) {
    final_config = fleet_config::Parse(stored->second.value).value();
  }
  auto& violations = world.counts().violations;
  for (const auto& accepted : faults.accepted()) {
    const std::string& reason = accepted.second;
    const auto& history = final_config.history();
    const auto count = std::count_if(
        history.begin(), history.end(),
        [&](const auto& entry) { return entry.reason == reason; });
    if (count != 1) {
      violations.emplace_back("accepted " + reason + " stands " +
                              std::to_string(count) + " times in the history");
    }
  }
  for (const sim_daemon& daemon : world.daemons()) {
    if (!daemon.snapshot ||
        daemon.snapshot->config.version() != final_config.version()) {
      violations.emplace_back("configuration is not in force at " +
                              daemon.settings.id.value());
    }
  }
}

void CheckOwnership(decision_world& world) {
  auto& violations = world.counts().violations;
  for (const key_hash where : decision_world::ObservedKeys()) {
    if (world.Holders(decision_world::kChecked, where).empty()) {
      std::ostringstream text;
      text << "no lease for the slice of " << slice_range{where, where};
      world.Trace("end", text.str());
      violations.emplace_back("a key has no owner long after recovery");
    }
  }
  const auto& stored =
      world.store().values[TableKey(decision_world::kUnchecked, 0)];
  const result<placement_table> table = ParseTable(stored.value);
  if (!table) {
    violations.emplace_back("no readable table long after recovery");
    return;
  }
  for (const slice& current : table.value().slices()) {
    if (!OwnerOf(current.state)) {
      violations.emplace_back("a slice has no owner long after recovery");
    }
  }
}

}  // namespace

run_counts RunDecisions(std::uint64_t seed, const run_options& options) {
  decision_world world(seed, options.timing);
  world.TraceTo(options.trace);
  fault_injector faults(world, options.with_faults);
  world.RunUntil(options.with_faults);
  world.Heal();
  // Processes that were stopped come back at the ends of their faults.
  world.RunUntil(options.with_faults + options.recovery);
  for (const auto& [key, value] : world.store().values) {
    world.Trace("final " + key, value.value);
  }
  CheckConfig(world, faults);
  CheckOwnership(world);
  return world.counts();
}

}  // namespace bluebell
