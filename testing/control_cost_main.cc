// Measures what the control loop of one daemon costs at rest: runs the control
// loops of a region in this process, against a platform that runs already, and
// prints processor time and bytes a second for each loop.

#include <docopt/docopt.h>
#include <sys/resource.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bluebell/daemon/control_loop.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {
namespace {

constexpr const char* kUsage = R"(Cost of control loops at rest.

Usage:
  control_cost --platform=ADDRESS [options]

Options:
  --platform=ADDRESS  Where the platform listens.
  --daemons=N         Control loops, spread over three domains [default: 13].
  --port=N            Peer port of the first loop [default: 17900].
  --seconds=N         How std::int64_t to measure [default: 10].
  --settle=N          Seconds before the measurement begins [default: 5].
)";

struct member {
  metrics_registry metrics;
  std::unique_ptr<control_loop> loop;
};

address Local(std::int64_t port) {
  return address::Parse("127.0.0.1:" + std::to_string(port)).value();
}

daemon_settings SettingsOf(std::int64_t index,
                           std::int64_t count,
                           std::int64_t port,
                           const address& platform) {
  const auto domain_of = [](std::int64_t i) {
    return domain_name("lk-west-" +
                       std::string(1, static_cast<char>('a' + i % 3)));
  };
  daemon_settings settings;
  settings.id = daemon_id("d" + std::to_string(index));
  settings.domain = domain_of(index);
  settings.region = "lk-west";
  settings.peer_listen = Local(port + index);
  settings.admin_listen = Local(port + count + index);
  settings.platform = platform;
  settings.services = {{service_name("tracker"), true, true, 2, 130, 64},
                       {service_name("booker"), true, true, 2, 130, 64},
                       {service_name("manifest"), false, true, 2, 130, 64}};
  for (std::int64_t i = 0; i < count; ++i) {
    if (i != index) {
      settings.peers.push_back(
          {daemon_id("d" + std::to_string(i)), domain_of(i), Local(port + i)});
    }
  }
  return settings;
}

std::unique_ptr<member> StartMember(const daemon_settings& settings,
                                    std::uint64_t run) {
  auto started = std::make_unique<member>();
  auto state = control_state::Make(settings, incarnation(run), run,
                                   std::chrono::steady_clock::now());
  started->loop =
      control_loop::Make(settings, DecisionsOf(std::move(state).value()), {},
                         started->metrics)
          .value();
  started->loop->Start();
  return started;
}

double ProcessorSeconds() {
  rusage usage = {};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds_of = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds_of(usage.ru_utime) + seconds_of(usage.ru_stime);
}

struct totals {
  double processor = 0;
  std::uint64_t sent = 0;
  std::uint64_t bytes_out = 0;
  std::uint64_t bytes_in = 0;
  std::uint64_t store_reads = 0;
  std::uint64_t leases = 0;
};

totals Sum(const std::vector<std::unique_ptr<member>>& members) {
  totals sum;
  sum.processor = ProcessorSeconds();
  for (const auto& entry : members) {
    const metrics_registry& metrics = entry->metrics;
    sum.sent += metrics.Count(metric::kHeartbeatsSent, {});
    sum.bytes_out += metrics.Count(metric::kHeartbeatBytes, {"out"});
    sum.bytes_in += metrics.Count(metric::kHeartbeatBytes, {"in"});
    sum.store_reads += metrics.Count(metric::kStoreCalls, {"read", "ok"});
    sum.leases += metrics.Count(metric::kLeasesRenewed, {"ok"});
  }
  return sum;
}

void Print(const totals& begin, const totals& end, double loop_seconds) {
  const auto rate = [&](auto first, auto last) {
    return static_cast<double>(last - first) / loop_seconds;
  };
  std::cout << "for each loop: "
            << "cpu_percent " << 100 * rate(begin.processor, end.processor)
            << ", heartbeats_out/s " << rate(begin.sent, end.sent)
            << ", heartbeat_bytes_out/s "
            << rate(begin.bytes_out, end.bytes_out) << ", heartbeat_bytes_in/s "
            << rate(begin.bytes_in, end.bytes_in) << ", store_reads/s "
            << rate(begin.store_reads, end.store_reads) << ", lease_requests/s "
            << rate(begin.leases, end.leases) << '\n';
}

int Run(std::map<std::string, docopt::value> options) {
  const auto platform = address::Parse(options["--platform"].asString());
  if (!platform) {
    std::cerr << platform.error() << '\n';
    return 2;
  }
  const std::int64_t count = options["--daemons"].asLong();
  const std::int64_t port = options["--port"].asLong();
  ConfigureLog(log_level::kWarn, "");
  std::vector<std::unique_ptr<member>> members;
  for (std::int64_t i = 0; i < count; ++i) {
    members.push_back(StartMember(SettingsOf(i, count, port, platform.value()),
                                  static_cast<std::uint64_t>(i) + 1));
  }
  const seconds measured(options["--seconds"].asLong());
  std::this_thread::sleep_for(seconds(options["--settle"].asLong()));
  const totals begin = Sum(members);
  std::this_thread::sleep_for(measured);
  const totals end = Sum(members);
  Print(begin, end, static_cast<double>(measured.count() * count));
  return 0;
}

}  // namespace
}  // namespace bluebell

int main(int argc, char** argv) {
  return bluebell::Run(
      docopt::docopt(bluebell::kUsage, {argv + 1, argv + argc}, true));
}
