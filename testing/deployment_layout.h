// Names, ports and files of a region's processes, as a function of its plan.
//
//   deployment_layout layout(plan);
//   std::string settings = layout.SettingsFor(0);

#ifndef BLUEBELL_TESTING_DEPLOYMENT_LAYOUT_H_
#define BLUEBELL_TESTING_DEPLOYMENT_LAYOUT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebell/core/address.h"
#include "testing/deployment_plan.h"

namespace bluebell {

// Daemons are numbered over all domains, domain 0 first; endpoints from zero
// within their service, over the domains in turn.
class deployment_layout {
 public:
  explicit deployment_layout(deployment_plan plan);

  const deployment_plan& plan() const { return plan_; }
  std::size_t daemon_count() const;
  const std::string& DomainOf(std::size_t daemon) const;
  const std::string& DomainOfEndpoint(std::size_t index) const;
  std::string DaemonName(std::size_t index) const;

  address Platform() const;
  address ProxyControl() const;
  address ServiceControl(std::size_t service) const;
  address CallerAddress(std::size_t daemon) const;
  address AdminAddress(std::size_t daemon) const;
  address EndpointAddress(std::size_t service, std::size_t index) const;

  // The settings file of a daemon and the platform's list of hosts.
  std::string SettingsFor(std::size_t index) const;
  std::string HostsJson() const;

  // The routes of the fault proxy as it takes them on its command line, and
  // the names of those that a partition of `domain` from the others cuts.
  // Routes are "DOMAIN>DAEMON", "DOMAIN>platform" and
  // "endpoint>SERVICE-NUMBER".
  const std::vector<std::string>& routes() const { return routes_; }
  std::vector<std::string> RoutesBetween(const std::string& domain) const;

 private:
  address At(std::uint32_t offset) const;
  address PeerAddress(std::size_t daemon) const;
  void PlanRoutes();
  void AddRoute(const std::string& name, const address& target);
  // Where to send what is for `target`: to the proxy if it has such a route.
  address Via(const std::string& route, const address& target) const;
  std::string EndpointName(std::size_t service, std::size_t index) const;

  deployment_plan plan_;
  std::map<std::string, address> route_listen_;
  std::vector<std::string> routes_;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_DEPLOYMENT_LAYOUT_H_
