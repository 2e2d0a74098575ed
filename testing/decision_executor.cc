// Carries out what the daemons of a decision_world decide, over its network and
// its store.

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "testing/decision_world.h"

namespace bluebell {

namespace {

constexpr milliseconds kStoreTimeout{300};
constexpr milliseconds kLeaseTimeout{200};

}  // namespace

// Carries out the actions of one daemon.
struct decision_world::executor {
  decision_world& world;
  std::size_t index = 0;
  incarnation run;

  sim_daemon& Daemon() const { return world.daemons_[index]; }
  instant Clock() const { return world.ClockOf(Daemon()); }

  // Calls the store: `at_store` runs there unless the request is lost, its
  // result goes back unless the answer is lost. `done` is called exactly once.
  template <typename Result>
  void CallStore(std::function<Result()> at_store,
                 std::function<void(std::optional<Result>)> done) const {
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [answered, done](std::optional<Result> value) {
      if (!std::exchange(*answered, true)) {
        done(std::move(value));
      }
    };
    world.After(kStoreTimeout, [answer] { answer(std::nullopt); });
    if (!world.Reaches(world.NameOf(index), kPlatform)) {
      return;
    }
    sim_time there = world.Delay();
    if (world.store_.slow_until > world.now_) {
      there += milliseconds(world.random_() % 1'000);
    }
    decision_world* const sim = &world;
    const std::size_t self = index;
    world.After(there, [sim, self, at_store, answer] {
      if (sim->store_.down_until > sim->now_) {
        return;
      }
      Result value = at_store();
      const bool lost =
          (sim->store_.losing_answers_until > sim->now_ && sim->Chance(0.5)) ||
          !sim->Reaches(sim->NameOf(self), kPlatform);
      if (!lost) {
        sim->After(sim->Delay(), [answer, value] { answer(value); });
      }
    });
  }

  void operator()(const read_store& action) const {
    decision_world* const sim = &world;
    const std::size_t self = index;
    const incarnation own_run = run;
    const instant sent = Clock();
    CallStore<store_value>(
        [sim, key = action.key] { return sim->store_.values[key]; },
        [sim, self, own_run, sent,
         key = action.key](std::optional<store_value> value) {
          store_read_done done{
              key, sent,
              error(errc::kTimeout, step::kReadStore, kPlatform, key)};
          if (value) {
            done.value = *value;
          }
          sim->Deliver(self, own_run, std::move(done));
        });
  }

  void operator()(const write_store& action) const {
    decision_world* const sim = &world;
    const std::size_t self = index;
    const incarnation own_run = run;
    CallStore<write_result>(
        [sim, action]() -> write_result {
          store_value& stored = sim->store_.values[action.key];
          if (stored.version != action.expected) {
            return write_conflict{stored.version};
          }
          stored = {action.value, store_version(stored.version.value() + 1)};
          ++sim->counts_.moves;
          return write_applied{stored.version};
        },
        [sim, self, own_run, action](const std::optional<write_result>& value) {
          const write_result unknown_fate = write_in_doubt{
              error(errc::kTimeout, step::kWriteStore, kPlatform, action.key)};
          sim->Deliver(self, own_run,
                       store_write_done{action.key, action.change,
                                        value.value_or(unknown_fate)});
        });
  }

  void operator()(const read_hosts& /*action*/) const {
    decision_world* const sim = &world;
    const std::size_t self = index;
    const incarnation own_run = run;
    using hosts = std::vector<host_entry>;
    CallStore<hosts>(
        [sim] {
          hosts listed;
          for (const sim_endpoint& endpoint : sim->endpoints_) {
            listed.push_back(endpoint.host);
          }
          return listed;
        },
        [sim, self, own_run](std::optional<hosts> listed) {
          hosts_read_done done{
              error(errc::kTimeout, step::kReadHosts, kPlatform, "")};
          if (listed) {
            done.hosts = std::move(*listed);
          }
          sim->Deliver(self, own_run, std::move(done));
        });
  }

  void operator()(const send_lease_request& action) const {
    decision_world* const sim = &world;
    const std::size_t self = index;
    const incarnation own_run = run;
    const instant sent = Clock();
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [=, where = action.where,
                         endpoint = action.request.to.endpoint](
                            std::optional<lease_reply> reply) {
      if (std::exchange(*answered, true)) {
        return;
      }
      lease_request_done done{
          endpoint, where, sent,
          error(errc::kTimeout, step::kGrantLease, where.ToString(), "")};
      if (reply) {
        done.reply = *reply;
      }
      sim->Deliver(self, own_run, std::move(done));
    };
    world.After(kLeaseTimeout, [answer] { answer(std::nullopt); });
    const auto target = world.EndpointAt(action.where);
    if (!target || !world.Reaches(world.NameOf(index),
                                  world.endpoints_[*target].host.name)) {
      return;
    }
    world.After(world.Delay(),
                [sim, self, target = *target, request = action.request,
                 answer] { sim->Reply(self, target, request, answer); });
  }

  void operator()(const send_heartbeat& action) const {
    const auto target = world.DaemonAt(action.to);
    if (!target || world.Chance(0.01) ||
        !world.Reaches(world.NameOf(index), world.NameOf(*target))) {
      return;
    }
    decision_world* const sim = &world;
    const int copies = world.Chance(0.01) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      world.After(world.Delay(),
                  [sim, target = *target, message = action.message] {
                    sim->Deliver(target, sim->daemons_[target].run,
                                 heartbeat_received{message});
                  });
    }
  }

  void operator()(const fetch_state& action) const {
    const auto target = world.DaemonAt(action.where);
    if (!target || !world.Reaches(world.NameOf(index), world.NameOf(*target))) {
      return;
    }
    decision_world* const sim = &world;
    const std::size_t self = index;
    const incarnation own_run = run;
    world.After(world.Delay(), [sim, self, own_run, target = *target,
                                peer = action.peer] {
      const sim_daemon& asked = sim->daemons_[target];
      if (!asked.state || asked.paused_until > sim->now_) {
        return;
      }
      shared_state shared = asked.state->MakeSharedState();
      sim->After(sim->Delay(), [=, shared = std::move(shared)] {
        sim->Deliver(self, own_run,
                     peer_state_received{peer, shared.config, shared.tables,
                                         shared.hosts, shared.load});
      });
    });
  }

  void operator()(const publish_snapshot& action) const {
    sim_daemon& daemon = Daemon();
    const config_version published = action.snapshot->config.version();
    if (published < daemon.highest_config) {
      world.counts_.violations.push_back("configuration reverted at " +
                                         daemon.settings.id.value());
    }
    daemon.highest_config = published;
    daemon.snapshot = action.snapshot;
  }

  void operator()(const log_decision& action) const {
    std::string text = action.message;
    for (const auto& [name, value] : action.fields) {
      text += ' ';
      text += name;
      text += '=';
      text += value;
    }
    world.Trace(Daemon().settings.id.value(), text);
  }

  void operator()(const report_violation& action) const {
    world.counts_.violations.push_back(action.invariant + ": " + action.state);
  }

  void operator()(const answer_operator& action) const {
    const auto found = world.asked_.find(action.token);
    if (found != world.asked_.end()) {
      found->second(action.reply);
      world.asked_.erase(found);
    }
  }
};

void decision_world::Deliver(std::size_t index,
                             incarnation run,
                             control_event happened) {
  sim_daemon& daemon = daemons_[index];
  if (!daemon.state || daemon.run != run) {
    return;
  }
  if (daemon.paused_until > now_) {
    After(daemon.paused_until - now_,
          [this, index, run, happened = std::move(happened)]() mutable {
            Deliver(index, run, std::move(happened));
          });
    return;
  }
  const auto actions =
      daemon.state->Handle(happened, ClockOf(daemon), WallClock());
  for (const control_action& action : actions) {
    std::visit(executor{*this, index, run}, action);
  }
}

void decision_world::Reply(
    std::size_t daemon,
    std::size_t target,
    const lease_request& request,
    const std::function<void(std::optional<lease_reply>)>& answer) {
  sim_endpoint& endpoint = endpoints_[target];
  if (!endpoint.model) {
    return;
  }
  if (endpoint.frozen_until > now_) {
    After(endpoint.frozen_until - now_,
          [=, this] { Reply(daemon, target, request, answer); });
    return;
  }
  const lease_reply reply =
      endpoint.model->Handle(request, endpoint.clock.Reading(now_));
  if (Reaches(NameOf(daemon), endpoint.host.name)) {
    After(Delay(), [answer, reply] { answer(reply); });
  }
}

}  // namespace bluebell
