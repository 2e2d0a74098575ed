// Runs a region's processes and reaches into them.
//
//   auto region = deployment::Start(SmallPlan(), "build", "/tmp/region");
//   region.value()->WaitReady(seconds(30));
//   region.value()->daemon(0).Signal(SIGSTOP);

#ifndef BLUEBELL_TESTING_DEPLOYMENT_H_
#define BLUEBELL_TESTING_DEPLOYMENT_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "testing/child_process.h"
#include "testing/deployment_layout.h"
#include "testing/deployment_plan.h"
#include "testing/execution_log.h"

namespace bluebell {

class deployment {
 public:
  // `build` is the build folder; settings and logs go to `folder`, which is
  // made. Programs that a run left behind there are not touched.
  static result<std::unique_ptr<deployment>> Start(const deployment_plan& plan,
                                                   const std::string& build,
                                                   const std::string& folder);

  // True once requests that must not run twice are answered at every daemon and
  // for every service. For about two seconds after a dispatcher starts it can't
  // know whether they ran, and answers `unknown`.
  bool WaitReady(milliseconds limit) const;

  const deployment_layout& layout() const { return layout_; }
  const deployment_plan& plan() const { return layout_.plan(); }
  std::size_t daemon_count() const { return layout_.daemon_count(); }
  child_process& daemon(std::size_t index) { return daemons_.at(index); }
  std::vector<address> CallerAddresses() const;

  // Starts daemon `index` again, as a new process with the same settings.
  result<bool> RestartDaemon(std::size_t index);

  // `faults` as `POST /bluebell/faults` takes them.
  result<bool> SetEndpointFaults(const std::string& service,
                                 std::size_t index,
                                 const std::string& faults) const;
  result<bool> DrainEndpoint(const std::string& service,
                             std::size_t index) const;
  // Puts `fault`, for example {"fault":"lose"}, on routes of the proxy.
  result<bool> SetProxyFault(const std::vector<std::string>& routes,
                             const std::string& fault) const;
  result<bool> SetPlatformFaults(const std::string& body) const;

  // Of all endpoints, in the order of their beginnings.
  result<std::vector<execution>> Executions() const;

 private:
  deployment(const deployment_plan& plan,
             std::string build,
             std::string folder);

  std::size_t ServiceIndex(const std::string& service) const;
  std::string SettingsFile(std::size_t daemon) const;
  result<child_process> Launch(const std::string& program,
                               const std::vector<std::string>& arguments,
                               const std::string& log) const;
  result<child_process> LaunchDaemon(std::size_t index) const;
  result<child_process> LaunchService(std::size_t index) const;
  result<bool> StartHelpers();
  result<bool> StartDaemons();

  deployment_layout layout_;
  std::string build_;
  std::string folder_;
  std::vector<child_process> helpers_;
  std::vector<child_process> daemons_;
};

// Waits a little between two looks at a condition.
void PauseBriefly();

// Calls `reached` until it is true or `limit` has passed, and returns what it
// said last.
template <typename Condition>
bool WaitUntil(milliseconds limit, const Condition& reached) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!reached()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    PauseBriefly();
  }
  return true;
}

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_DEPLOYMENT_H_
