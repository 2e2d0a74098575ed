// A small world for randomised runs of the decisions: control states and
// endpoint rules with clocks of their own, a fake store, and a network that
// delays, loses, doubles and reorders. No sockets, no threads, no wall clock:
// the same seed always gives the same run.
//
//   decision_world world(seed, timing);
//   world.RunUntil(seconds(40));

#ifndef TESTING_DECISION_WORLD_H_
#define TESTING_DECISION_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "bluebell/control/control_state.h"
#include "bluebell/core/time.h"
#include "testing/endpoint_model.h"
#include "testing/sim_network.h"
#include "testing/sim_time.h"

namespace bluebell {

// A process's monotonic clock: its own start and a rate within the bound on
// drift.
struct sim_clock {
  std::int64_t offset_ns = 0;
  double rate = 1.0;

  std::int64_t Reading(sim_time t) const {
    return offset_ns +
           static_cast<std::int64_t>(static_cast<double>(t.count()) * rate);
  }
};

struct sim_daemon {
  daemon_settings settings;
  incarnation run;
  // Empty while the process is down.
  std::optional<control_state> state;
  sim_clock clock;
  sim_time paused_until{0};
  std::shared_ptr<const routing_snapshot> snapshot;
  config_version highest_config;
};

struct sim_endpoint {
  host_entry host;
  incarnation run;
  std::optional<endpoint_model> model;
  sim_clock clock;
  sim_time frozen_until{0};
};

struct sim_store {
  std::map<std::string, store_value> values;
  sim_time down_until{0};
  sim_time slow_until{0};
  sim_time losing_answers_until{0};
};

// What a run counts.
struct run_counts {
  std::uint64_t faults = 0;
  std::uint64_t requests = 0;
  std::uint64_t served = 0;
  std::uint64_t moves = 0;
  std::uint64_t config_changes = 0;
  // Summed over the observed keys, each of which stands for an equal share of
  // its service.
  double unavailable_key_seconds = 0;
  std::vector<std::string> violations;
};

class decision_world {
 public:
  decision_world(std::uint64_t seed, const timing_settings& timing);

  void RunUntil(sim_time end);

  sim_time now() const { return now_; }
  std::mt19937_64& random() { return random_; }
  std::vector<sim_daemon>& daemons() { return daemons_; }
  std::vector<sim_endpoint>& endpoints() { return endpoints_; }
  sim_store& store() { return store_; }
  run_counts& counts() { return counts_; }

  // Where each decision is printed with its time; null: nowhere.
  void TraceTo(std::ostream* out) { trace_ = out; }
  void Trace(const std::string& who, const std::string& what) const;

  // Calls `what` after `delay`.
  void After(sim_time delay, std::function<void()> what);

  // Its nodes are named by daemon id, endpoint id or kPlatform.
  sim_network& network() { return network_; }
  // Ends all that disturbs the network, the store and the processes.
  void Heal();

  void StartDaemon(std::size_t index);
  void StopDaemon(std::size_t index) { daemons_[index].state.reset(); }
  void StartEndpoint(std::size_t index);
  void StopEndpoint(std::size_t index) { endpoints_[index].model.reset(); }

  // Gives an event to a daemon, after the end of its pause.
  void Deliver(std::size_t index, incarnation run, control_event happened);

  void AskOperator(std::size_t index,
                   const config_change& change,
                   std::function<void(const operator_reply&)> done);

  // The observed keys, at equal distances in the hash space.
  static std::vector<key_hash> ObservedKeys();

  // The endpoints that hold a lease for `where` by their own clocks.
  std::vector<std::size_t> Holders(const service_name& service,
                                   key_hash where) const;

  static constexpr const char* kPlatform = "platform";
  static const service_name kChecked;
  static const service_name kUnchecked;

 private:
  struct scheduled {
    sim_time at;
    std::uint64_t order = 0;
    std::function<void()> what;
    bool operator<(const scheduled& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };
  struct executor;

  void Tick(std::size_t index, incarnation run);
  // Lets an endpoint handle a lease request, after the end of its freeze.
  void Reply(std::size_t daemon,
             std::size_t target,
             const lease_request& request,
             const std::function<void(std::optional<lease_reply>)>& answer);
  void StartChecks();
  void Observe();
  void SendRequest();
  void RunOrder(std::size_t target,
                endpoint_instance to,
                key_hash where,
                slice_claim claim);
  bool Reaches(const std::string& a, const std::string& b) const {
    return network_.Reaches(a, b, now_);
  }
  const std::string& NameOf(std::size_t daemon) const {
    return daemons_[daemon].settings.id.value();
  }
  sim_time Delay() { return network_.Delay(random_, now_); }
  bool Chance(double probability);
  std::optional<std::size_t> DaemonAt(const address& where) const;
  std::optional<std::size_t> EndpointAt(const address& where) const;
  instant ClockOf(const sim_daemon& daemon) const;
  wall_instant WallClock() const;

  std::mt19937_64 random_;
  timing_settings timing_;
  sim_time now_{0};
  std::uint64_t events_ = 0;
  std::priority_queue<scheduled> queue_;
  std::vector<sim_daemon> daemons_;
  std::vector<sim_endpoint> endpoints_;
  sim_store store_;
  sim_network network_;
  std::map<std::uint64_t, std::function<void(const operator_reply&)>> asked_;
  std::uint64_t tokens_ = 0;
  std::uint64_t runs_ = 0;
  // For endpoints that don't check: the highest epoch that ran for a key, and
  // where.
  std::map<key_hash, std::pair<epoch, endpoint_instance>> ran_;
  run_counts counts_;
  std::ostream* trace_ = nullptr;
};

}  // namespace bluebell

#endif  // TESTING_DECISION_WORLD_H_
