// Measures what the control state of one daemon costs against the number of
// daemons, endpoints and slices around it: processor time of the decisions and
// of encoding and decoding heartbeats, bytes of heartbeats and of store and
// lease traffic, memory. Peers, endpoints and the store answer at once from
// memory; sockets are not included.
//
//   capacity --daemons=11 --endpoints=64 --slices=128 --seconds=20

#include <sys/resource.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <docopt/docopt.h>

#include "bluebell/control/control_state.h"
#include "bluebell/wire/frame.h"

namespace bluebell {
namespace {

constexpr const char* kUsage =
    R"(Measures the cost of one daemon's control state.

Usage:
  capacity [--daemons=N] [--domains=N] [--endpoints=N] [--slices=N]
           [--seconds=N]

Options:
  --daemons=N    Daemons in the region [default: 11].
  --domains=N    Failure domains in the region [default: 3].
  --endpoints=N  Endpoints in the region [default: 64].
  --slices=N     Slices of the one keyed service [default: 64].
  --seconds=N    Length of the run in the daemon's time [default: 20].
)";

constexpr int kFirstDaemonPort = 1'000;
constexpr int kFirstEndpointPort = 20'000;

address At(int number) {
  const std::string ip = "10." + std::to_string(number >> 16) + '.' +
                         std::to_string((number >> 8) & 0xFF) + '.' +
                         std::to_string(number & 0xFF);
  return address::Parse(ip + ":7000").value();
}

struct sizes {
  int daemons = 0;
  int domains = 0;
  int endpoints = 0;
  int slices = 0;
  int length_s = 0;
};

struct traffic_count {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) /
             1e6;
}

double ResidentMegabytes() {
  std::ifstream status("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  status >> total >> resident;
  constexpr double kPageBytes = 4096;
  return static_cast<double>(resident) * kPageBytes / 1e6;
}

// The surroundings of the daemon: peers that mirror its table, a store and
// endpoints that answer at once.
class surroundings {
 public:
  explicit surroundings(const sizes& size) : size_(size) {
    for (int i = 0; i < size.endpoints; ++i) {
      host_entry host;
      host.name = "endpoint-" + std::to_string(i);
      host.domain = Domain(i);
      host.service = service_name("keyed");
      host.where = At(kFirstEndpointPort + i);
      hosts_.push_back(host);
    }
  }

  daemon_settings Settings() const {
    daemon_settings settings;
    settings.id = Id(0);
    settings.domain = Domain(0);
    settings.peer_listen = At(kFirstDaemonPort);
    for (int i = 1; i < size_.daemons; ++i) {
      settings.peers.push_back({Id(i), Domain(i), At(kFirstDaemonPort + i)});
    }
    service_spec spec;
    spec.name = service_name("keyed");
    spec.initial_slices = static_cast<std::uint32_t>(size_.slices);
    settings.services = {spec};
    return settings;
  }

  // Events that reach the daemon at the next step.
  std::deque<control_event>& inbox() { return inbox_; }
  const std::map<std::string, traffic_count>& counts() const { return counts_; }

  // Heartbeats of the peers: every 100 ms within the domain, 200 ms across.
  void Beat(int step) {
    for (int i = 1; i < size_.daemons; ++i) {
      const int interval = Domain(i) == Domain(0) ? 5 : 10;
      if ((step + i) % interval == 0) {
        Receive(i);
      }
    }
  }

  void operator()(const read_store& action) {
    const store_value& stored = values_[action.key];
    Count("store_read", stored.value.size());
    inbox_.emplace_back(store_read_done{action.key, now_, stored});
  }

  void operator()(const write_store& action) {
    Count("store_write", action.value.size());
    store_value& stored = values_[action.key];
    stored = {action.value, store_version(stored.version.value() + 1)};
    inbox_.emplace_back(store_write_done{action.key, action.change,
                                         write_applied{stored.version}});
  }

  void operator()(const read_hosts& /*action*/) {
    Count("hosts_read", hosts_.size() * 120);
    inbox_.emplace_back(hosts_read_done{hosts_});
  }

  void operator()(const send_lease_request& action) {
    constexpr std::size_t kBytesPerLease = 70;
    constexpr std::size_t kBytesPerRequest = 500;
    Count("lease_request",
          kBytesPerRequest + action.request.granted.size() * kBytesPerLease);
    lease_reply reply;
    reply.from = {action.request.to.endpoint, incarnation(1)};
    reply.clock_ns = now_.time_since_epoch().count();
    inbox_.emplace_back(lease_request_done{action.request.to.endpoint,
                                           action.where, now_, reply});
  }

  void operator()(const send_heartbeat& action) {
    const auto bytes = EncodeFrame({exchange_kind::kOneWay, 0, action.message});
    Count("heartbeat_sent", bytes.value().size());
    last_pings_[action.to] = action.message.ping;
    tables_ = action.message.tables;
    config_ = action.message.config;
  }

  void operator()(const fetch_state& /*action*/) { Count("state_fetch", 0); }
  void operator()(const publish_snapshot& /*action*/) { Count("snapshot", 0); }
  void operator()(const log_decision& /*action*/) {}
  void operator()(const answer_operator& /*action*/) {}
  void operator()(const report_violation& action) {
    std::cerr << action.invariant << ": " << action.state << '\n';
  }

  void set_now(instant now) { now_ = now; }

 private:
  static daemon_id Id(int i) {
    return daemon_id("daemon-" + std::to_string(i));
  }
  domain_name Domain(int i) const {
    return domain_name("domain-" + std::to_string(i % size_.domains));
  }

  void Count(const std::string& what, std::size_t bytes) {
    ++counts_[what].messages;
    counts_[what].bytes += bytes;
  }

  void Receive(int i) {
    heartbeat message;
    message.sender = Id(i);
    message.run = incarnation(static_cast<std::uint64_t>(i) + 1);
    message.domain = Domain(i);
    message.peer_address = At(kFirstDaemonPort + i);
    message.ping = ++pings_;
    message.echoed_ping = last_pings_[message.peer_address];
    message.echoed_run = incarnation(1);
    message.config = config_;
    message.tables = tables_;
    for (table_status& status : message.tables) {
      status.proof_age_us = 1'000;
    }
    if (pings_ % 10 == 0) {
      AddEndpoints(i, message);
    }
    const auto bytes = EncodeFrame({exchange_kind::kOneWay, 0, message});
    Count("heartbeat_received", bytes.value().size());
    const auto decoded = DecodeFrame(bytes.value());
    inbox_.emplace_back(
        heartbeat_received{std::get<heartbeat>(decoded.value().message)});
  }

  // Each endpoint is probed by two daemons of its domain.
  void AddEndpoints(int i, heartbeat& message) const {
    const int per_domain = (size_.daemons + size_.domains - 1) / size_.domains;
    for (int e = i % size_.domains; e < size_.endpoints; e += size_.domains) {
      const int number = e / size_.domains % per_domain;
      const int own = i / size_.domains;
      if (number == own || (number + 1) % per_domain == own) {
        message.endpoints.push_back(
            {{endpoint_id("endpoint-" + std::to_string(e)), incarnation(1)},
             endpoint_condition::kServing});
      }
    }
  }

  sizes size_;
  instant now_;
  std::vector<host_entry> hosts_;
  std::map<std::string, store_value> values_;
  std::map<address, std::uint64_t> last_pings_;
  std::uint64_t pings_ = 0;
  std::vector<table_status> tables_;
  config_version config_;
  std::deque<control_event> inbox_;
  std::map<std::string, traffic_count> counts_;
};

void Run(const sizes& size) {
  surroundings around(size);
  const double memory_before = ResidentMegabytes();
  instant now(seconds(1));
  control_state state =
      control_state::Make(around.Settings(), incarnation(1), 1, now).value();
  const int steps = size.length_s * 50;
  const int warm_up = steps / 4;
  double cpu = 0;
  std::map<std::string, traffic_count> before;
  for (int step = 0; step < steps; ++step) {
    if (step == warm_up) {
      cpu = CpuSeconds();
      before = around.counts();
    }
    now += kControlTickInterval;
    around.set_now(now);
    around.Beat(step);
    around.inbox().emplace_back(tick{});
    while (!around.inbox().empty()) {
      const control_event event = std::move(around.inbox().front());
      around.inbox().pop_front();
      const wall_instant wall(seconds(1'700'000'000) + now.time_since_epoch());
      for (const control_action& action : state.Handle(event, now, wall)) {
        std::visit(around, action);
      }
    }
  }
  const double measured_s = (steps - warm_up) / 50.0;
  std::cout << "daemons " << size.daemons << " domains " << size.domains
            << " endpoints " << size.endpoints << " slices " << size.slices
            << " cpu_percent " << 100 * (CpuSeconds() - cpu) / measured_s
            << " memory_mb " << ResidentMegabytes() - memory_before;
  for (const auto& [what, count] : around.counts()) {
    const auto& start = before[what];
    std::cout << ' ' << what << "_per_s "
              << static_cast<double>(count.messages - start.messages) /
                     measured_s
              << ' ' << what << "_bytes_per_s "
              << static_cast<double>(count.bytes - start.bytes) / measured_s;
  }
  std::cout << '\n';
}

}  // namespace
}  // namespace bluebell

int main(int argc, char** argv) {
  auto options = docopt::docopt(bluebell::kUsage, {argv + 1, argv + argc});
  const auto number = [&](const char* name) {
    return static_cast<int>(options[name].asLong());
  };
  bluebell::Run({number("--daemons"), number("--domains"),
                 number("--endpoints"), number("--slices"),
                 number("--seconds")});
  return 0;
}
