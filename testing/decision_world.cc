#include "testing/decision_world.h"

#include <algorithm>
#include <utility>

namespace bluebell {

const service_name decision_world::kChecked("tracker");
const service_name decision_world::kUnchecked("claims");

namespace {

constexpr std::size_t kDomains = 3;
constexpr std::size_t kDaemonsPerDomain = 3;
constexpr std::size_t kEndpointsPerDomain = 2;

address At(int port) {
  return address::Parse("127.0.0.1:" + std::to_string(port)).value();
}

std::string DomainName(std::size_t domain) {
  return "domain-" + std::to_string(domain);
}

service_spec Spec(const service_name& name, bool checks_epoch) {
  service_spec spec;
  spec.name = name;
  spec.checks_epoch = checks_epoch;
  spec.initial_slices = 6;
  return spec;
}

}  // namespace

decision_world::decision_world(std::uint64_t seed,
                               const timing_settings& timing)
    : random_(seed), timing_(timing) {
  std::vector<peer_settings> peers;
  for (std::size_t i = 0; i < kDomains * kDaemonsPerDomain; ++i) {
    peers.push_back({daemon_id("daemon-" + std::to_string(i)),
                     domain_name(DomainName(i / kDaemonsPerDomain)),
                     At(1000 + static_cast<int>(i))});
  }
  for (const peer_settings& own : peers) {
    sim_daemon daemon;
    daemon.settings.id = own.id;
    daemon.settings.domain = own.domain;
    daemon.settings.peer_listen = own.peer_address;
    daemon.settings.peers = peers;
    std::erase(daemon.settings.peers, own);
    daemon.settings.services = {Spec(kChecked, true), Spec(kUnchecked, false)};
    daemon.settings.timing = timing;
    daemons_.push_back(std::move(daemon));
  }
  int port = 2000;
  for (std::size_t i = 0; i < kDomains * kEndpointsPerDomain * 2; ++i) {
    const service_name service = i % 2 == 0 ? kChecked : kUnchecked;
    host_entry host;
    host.name = service.value() + "-" + std::to_string(i);
    host.service = service;
    host.domain = domain_name(DomainName(i / (2 * kEndpointsPerDomain)));
    host.where = At(port++);
    sim_endpoint endpoint;
    endpoint.host = host;
    endpoints_.push_back(std::move(endpoint));
  }
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    StartDaemon(i);
  }
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    StartEndpoint(i);
  }
  StartChecks();
}

void decision_world::After(sim_time delay, std::function<void()> what) {
  queue_.push({now_ + delay, ++events_, std::move(what)});
}

void decision_world::RunUntil(sim_time end) {
  while (!queue_.empty() && queue_.top().at <= end) {
    const scheduled next = queue_.top();
    queue_.pop();
    now_ = next.at;
    next.what();
  }
  now_ = end;
}

void decision_world::Trace(const std::string& who,
                           const std::string& what) const {
  if (trace_) {
    *trace_ << now_.count() / 1'000'000 << " ms " << who << ": " << what
            << '\n';
  }
}

bool decision_world::Chance(double probability) {
  return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
}

instant decision_world::ClockOf(const sim_daemon& daemon) const {
  return instant(nanoseconds(daemon.clock.Reading(now_)));
}

wall_instant decision_world::WallClock() const {
  return wall_instant(seconds(1'700'000'000) + now_);
}

void decision_world::StartDaemon(std::size_t index) {
  sim_daemon& daemon = daemons_[index];
  std::uniform_int_distribution<std::int64_t> offset(0, 1'000'000'000'000);
  const double drift = static_cast<double>(timing_.clock_drift_ppm) / 1e6;
  std::uniform_real_distribution<double> rate(1 - drift, 1 + drift);
  daemon.clock = {offset(random_), rate(random_)};
  daemon.run = incarnation(++runs_);
  daemon.paused_until = sim_time(0);
  daemon.snapshot.reset();
  daemon.highest_config = config_version();
  daemon.state.emplace(control_state::Make(daemon.settings, daemon.run,
                                           random_(), ClockOf(daemon))
                           .value());
  const incarnation run = daemon.run;
  After(microseconds(random_() % 20'000),
        [this, index, run] { Tick(index, run); });
}

void decision_world::StartEndpoint(std::size_t index) {
  sim_endpoint& endpoint = endpoints_[index];
  std::uniform_int_distribution<std::int64_t> offset(0, 1'000'000'000'000);
  const double drift = static_cast<double>(timing_.clock_drift_ppm) / 1e6;
  std::uniform_real_distribution<double> rate(1 - drift, 1 + drift);
  endpoint.clock = {offset(random_), rate(random_)};
  endpoint.run = incarnation(++runs_);
  endpoint.frozen_until = sim_time(0);
  endpoint_traits traits;
  traits.self = {endpoint_id(endpoint.host.name), endpoint.run};
  traits.slots = 1'000;
  traits.checks_epoch = endpoint.host.service == kChecked;
  endpoint.model.emplace(traits, endpoint.clock.Reading(now_));
}

void decision_world::Tick(std::size_t index, incarnation run) {
  sim_daemon& daemon = daemons_[index];
  if (!daemon.state || daemon.run != run) {
    return;
  }
  if (daemon.paused_until > now_) {
    After(daemon.paused_until - now_, [this, index, run] { Tick(index, run); });
    return;
  }
  Deliver(index, run, tick{});
  After(kControlTickInterval, [this, index, run] { Tick(index, run); });
}

void decision_world::Heal() {
  network_.Heal(now_);
  store_.down_until = store_.slow_until = store_.losing_answers_until = now_;
  for (sim_daemon& daemon : daemons_) {
    daemon.paused_until = std::min(daemon.paused_until, now_);
  }
  for (sim_endpoint& endpoint : endpoints_) {
    endpoint.frozen_until = std::min(endpoint.frozen_until, now_);
  }
}

std::optional<std::size_t> decision_world::DaemonAt(
    const address& where) const {
  for (std::size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].settings.peer_listen == where) {
      return i;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> decision_world::EndpointAt(
    const address& where) const {
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    if (endpoints_[i].host.where == where) {
      return i;
    }
  }
  return std::nullopt;
}

void decision_world::AskOperator(
    std::size_t index,
    const config_change& change,
    std::function<void(const operator_reply&)> done) {
  const std::uint64_t token = ++tokens_;
  asked_[token] = std::move(done);
  Deliver(index, daemons_[index].run,
          operator_asked{token, change_config{change}});
}

}  // namespace bluebell
