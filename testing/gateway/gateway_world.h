// The gateway's daemons as real processes, with a store, endpoints and callers
// of this process around them and proxies on the connections between.
//
//   auto world = gateway_world::Make(options).value();
//   world->RunFor(milliseconds(500));
//   world->KillGateway(0);

#ifndef TESTING_GATEWAY_GATEWAY_WORLD_H_
#define TESTING_GATEWAY_GATEWAY_WORLD_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "testing/child_process.h"
#include "testing/fault_proxy.h"
#include "testing/gateway/key_holders.h"
#include "testing/gateway/kv_standin.h"
#include "testing/gateway/soak_endpoint.h"
#include "testing/gateway/soak_record.h"

namespace bluebell {

class soak_caller;

struct gateway_world_options {
  std::uint64_t seed = 0;
  // The program bluebellgw.
  std::string program;
  // Where the daemons' settings and logs go; one run's own.
  std::string folder;
  // The first of kPortsPerWorld ports on loopback.
  std::uint16_t first_port = 0;
  std::size_t gateways = 5;
  std::size_t keyed_endpoints = 6;
  std::size_t plain_endpoints = 6;
  std::size_t callers = 24;
  close_rule closes = close_rule::kFinishesWork;
};

class gateway_world {
 public:
  static constexpr std::uint16_t kPortsPerWorld = 200;

  static result<std::unique_ptr<gateway_world>> Make(
      const gateway_world_options& options);
  gateway_world(const gateway_world&) = delete;
  gateway_world& operator=(const gateway_world&) = delete;
  ~gateway_world();

  void RunFor(milliseconds length);
  // Stops the callers and waits for their last answers.
  void StopCallers();

  std::mt19937_64& random() { return random_; }
  kv_standin& store() { return *store_; }
  soak_record& record() { return record_; }
  key_holders& holders() { return holders_; }
  std::vector<std::shared_ptr<soak_endpoint>>& endpoints() {
    return endpoints_;
  }
  std::size_t gateways() const { return gateways_.size(); }

  // Calls `what` after `delay` while the world runs.
  void After(milliseconds delay, std::function<void()> what);

  bool StartGateway(std::size_t index);
  void SignalGateway(std::size_t index, int number);
  // Frees the place of a process that has ended. False while it runs.
  bool GatewayEnded(std::size_t index);
  bool GatewayRuns(std::size_t index) const {
    return gateways_[index].process.has_value();
  }
  // The daemon that the store names as coordinator.
  std::optional<std::size_t> Coordinator() const;

  // Puts a fault on one connection: "front-2", "store-2" or "endpoint-4".
  void SetLinkFault(const std::string& link,
                    const proxy_fault& fault,
                    bool silence_open);

  bool StartEndpoint(std::size_t index);
  void KillEndpoint(std::size_t index);
  void DrainEndpoint(std::size_t index);
  // Removes the entry of an endpoint that serves on and doesn't report it.
  void UnlistEndpoint(std::size_t index);
  // The endpoint stays and is ready again.
  void CancelDrain(std::size_t index);
  // The operator moves the route to the other service.
  void ChangeConfig();

 private:
  struct gateway {
    std::string id;
    std::string domain;
    address caller;
    address ready;
    address peer;
    address metrics;
    address front;
    address store;
    std::optional<child_process> process;
    // Counts the processes of all daemons.
    std::uint64_t number = 0;
  };

  explicit gateway_world(const gateway_world_options& options);

  result<bool> Open();
  result<bool> OpenGateways();
  result<bool> OpenEndpoints();
  result<address> OpenLink(const std::string& name, const address& target);
  address NextAddress();
  static std::string SettingsOf(const gateway& daemon);
  bool WriteConfig();
  void Heartbeats();
  void ForgetEntry(std::size_t index);

  gateway_world_options options_;
  std::mt19937_64 random_;
  boost::asio::io_context io_;
  std::uint16_t next_port_;
  soak_record record_;
  key_holders holders_;
  std::shared_ptr<kv_standin> store_;
  address store_listen_;
  std::vector<gateway> gateways_;
  std::vector<std::shared_ptr<soak_endpoint>> endpoints_;
  std::vector<std::shared_ptr<proxy_port>> links_;
  std::vector<std::shared_ptr<soak_caller>> callers_;
  std::uint64_t processes_ = 0;
  std::uint64_t config_version_ = 0;
};

}  // namespace bluebell

#endif  // TESTING_GATEWAY_GATEWAY_WORLD_H_
