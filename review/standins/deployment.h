// A small deployment: the store, and gateways that run as processes with the
// command and the settings template of the deploy file.

#ifndef REVIEW_STANDINS_DEPLOYMENT_H_
#define REVIEW_STANDINS_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "review/standins/clock.h"
#include "review/standins/record.h"
#include "review/standins/store.h"

namespace review {

struct service_options {
  std::string name;
  bool keyed = false;
};

struct route_options {
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  double timeout_s = 5;
  double target_s = 0.8;
  int priority = 1;
  int max_attempts = 2;
};

// The operator's config; every host is "review.example".
std::string ConfigText(const std::string& version,
                       const std::vector<route_options>& routes,
                       const std::vector<service_options>& services);

class gateway {
 public:
  // `number` is in the node's name. Starts the process.
  gateway(int number, std::uint16_t store_port, run_record& record);
  gateway(const gateway&) = delete;
  gateway& operator=(const gateway&) = delete;
  // Kills the process if it still runs.
  ~gateway();

  void Start();
  void Signal(int number);
  // True if the process ended by itself or by a signal.
  bool HasEnded();
  void Kill();
  // Waits until the gateway says that it is ready. False after `limit`.
  bool WaitReady(milliseconds limit) const;

  std::uint16_t front_port() const { return front_port_; }
  const std::string& name() const { return name_; }

 private:
  std::string Settings() const;

  std::string name_;
  std::uint16_t store_port_;
  run_record& record_;
  std::uint16_t front_port_;
  std::uint16_t ready_port_;
  std::uint16_t peer_port_;
  std::uint16_t metrics_port_;
  std::string folder_;
  pid_t process_ = 0;
};

// The result of one request of a client: the response, or nothing if the
// connection ended or `limit` passed before one was complete.
struct call_options {
  std::string method = "POST";
  std::string path;
  std::string attempt;
  std::optional<std::uint32_t> key;
  milliseconds limit{5'000};
};

// On a new connection.
std::optional<http_message> Call(std::uint16_t port,
                                 const call_options& options,
                                 run_record& record);

// The disturbance is off with TROUBLE=0.
bool HasTrouble();

// Ends the program at once, without waiting for the stand-ins' threads.
[[noreturn]] void End(int status);

}  // namespace review

#endif  // REVIEW_STANDINS_DEPLOYMENT_H_
