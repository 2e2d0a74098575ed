#include "testing/deployment_layout.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace bluebell {

namespace {

namespace json = boost::json;

// The offsets of ports from the region's first one.
constexpr std::uint32_t kPlatform = 0;
constexpr std::uint32_t kProxyControl = 1;
constexpr std::uint32_t kServiceControl = 2;
constexpr std::uint32_t kDaemons = 20;
constexpr std::uint32_t kPortsPerDaemon = 3;
constexpr std::uint32_t kEndpoints = 200;
constexpr std::uint32_t kEndpointsPerService = 40;
constexpr std::uint32_t kRoutes = 400;

json::object TimingJson(const timing_settings& timing) {
  return {{"lease_term_ms", timing.lease_term.count()},
          {"lease_renewal_ms", timing.lease_renewal.count()},
          {"table_freshness_ms", timing.table_freshness.count()},
          {"table_read_interval_ms", timing.table_read_interval.count()},
          {"detection_ms", timing.detection.count()},
          {"domain_autonomy_ms", timing.domain_autonomy.count()},
          {"max_order_delay_ms", timing.max_order_delay.count()}};
}

json::array ServicesJson(const std::vector<deployed_service>& services) {
  json::array rows;
  for (const deployed_service& service : services) {
    const service_spec& spec = service.spec;
    rows.push_back({{"name", spec.name.value()},
                    {"keyed", spec.keyed},
                    {"checks_epoch", spec.checks_epoch},
                    {"slots", spec.slots},
                    {"connections", spec.connections},
                    {"initial_slices", spec.initial_slices}});
  }
  return rows;
}

}  // namespace

deployment_layout::deployment_layout(deployment_plan plan)
    : plan_(std::move(plan)) {
  if (plan_.with_proxy) {
    PlanRoutes();
  }
}

address deployment_layout::At(std::uint32_t offset) const {
  return address::Parse("127.0.0.1:" +
                        std::to_string(plan_.first_port + offset))
      .value();
}

std::size_t deployment_layout::daemon_count() const {
  return plan_.domains.size() * plan_.daemons_per_domain;
}

const std::string& deployment_layout::DomainOf(std::size_t daemon) const {
  return plan_.domains.at(daemon / plan_.daemons_per_domain);
}

const std::string& deployment_layout::DomainOfEndpoint(
    std::size_t index) const {
  return plan_.domains.at(index % plan_.domains.size());
}

std::string deployment_layout::DaemonName(std::size_t index) const {
  return DomainOf(index) + "-entry-" +
         std::to_string(index % plan_.daemons_per_domain + 1);
}

std::string deployment_layout::EndpointName(std::size_t service,
                                            std::size_t index) const {
  return plan_.services[service].spec.name.value() + "-" +
         std::to_string(index + 1);
}

address deployment_layout::Platform() const {
  return At(kPlatform);
}

address deployment_layout::ProxyControl() const {
  return At(kProxyControl);
}

address deployment_layout::ServiceControl(std::size_t service) const {
  return At(kServiceControl + static_cast<std::uint32_t>(service));
}

address deployment_layout::PeerAddress(std::size_t daemon) const {
  return At(kDaemons + static_cast<std::uint32_t>(daemon) * kPortsPerDaemon +
            2);
}

address deployment_layout::CallerAddress(std::size_t daemon) const {
  return At(kDaemons + static_cast<std::uint32_t>(daemon) * kPortsPerDaemon);
}

address deployment_layout::AdminAddress(std::size_t daemon) const {
  return At(kDaemons + static_cast<std::uint32_t>(daemon) * kPortsPerDaemon +
            1);
}

address deployment_layout::EndpointAddress(std::size_t service,
                                           std::size_t index) const {
  return At(kEndpoints +
            static_cast<std::uint32_t>(service) * kEndpointsPerService +
            static_cast<std::uint32_t>(index));
}

address deployment_layout::Via(const std::string& route,
                               const address& target) const {
  const auto found = route_listen_.find(route);
  return found == route_listen_.end() ? target : found->second;
}

void deployment_layout::AddRoute(const std::string& name,
                                 const address& target) {
  const address listen =
      At(kRoutes + static_cast<std::uint32_t>(route_listen_.size()));
  route_listen_.emplace(name, listen);
  routes_.push_back(name + "," + listen.ToString() + "=" + target.ToString());
}

void deployment_layout::PlanRoutes() {
  for (const std::string& domain : plan_.domains) {
    AddRoute(domain + ">platform", At(kPlatform));
    for (std::size_t daemon = 0; daemon < daemon_count(); ++daemon) {
      if (DomainOf(daemon) != domain) {
        AddRoute(domain + ">" + DaemonName(daemon), PeerAddress(daemon));
      }
    }
  }
  for (std::size_t service = 0; service < plan_.services.size(); ++service) {
    for (std::size_t index = 0; index < plan_.services[service].endpoints;
         ++index) {
      AddRoute("endpoint>" + EndpointName(service, index),
               EndpointAddress(service, index));
    }
  }
}

std::vector<std::string> deployment_layout::RoutesBetween(
    const std::string& domain) const {
  std::vector<std::string> names;
  for (const auto& [name, listen] : route_listen_) {
    const bool leaves = name.starts_with(domain + ">");
    const bool enters =
        name.find(">" + domain + "-entry-") != std::string::npos;
    if ((leaves && !name.ends_with(">platform")) || enters) {
      names.push_back(name);
    }
  }
  return names;
}

std::string deployment_layout::SettingsFor(std::size_t index) const {
  json::array peers;
  for (std::size_t other = 0; other < daemon_count(); ++other) {
    if (other != index) {
      peers.push_back(
          {{"id", DaemonName(other)},
           {"domain", DomainOf(other)},
           {"peer_address",
            Via(DomainOf(index) + ">" + DaemonName(other), PeerAddress(other))
                .ToString()}});
    }
  }
  return json::serialize(json::object{
      {"id", DaemonName(index)},
      {"domain", DomainOf(index)},
      {"region", plan_.region},
      {"caller_listen", CallerAddress(index).ToString()},
      {"admin_listen", AdminAddress(index).ToString()},
      {"peer_listen", PeerAddress(index).ToString()},
      {"platform",
       Via(DomainOf(index) + ">platform", At(kPlatform)).ToString()},
      {"peers", std::move(peers)},
      {"services", ServicesJson(plan_.services)},
      {"timing", TimingJson(plan_.timing)},
      {"dispatch_policy", plan_.dispatch_policy},
      {"placement_policy", plan_.placement_policy}});
}

std::string deployment_layout::HostsJson() const {
  json::array hosts;
  for (std::size_t index = 0; index < daemon_count(); ++index) {
    hosts.push_back({{"name", DaemonName(index)},
                     {"role", "daemon"},
                     {"state", "live"},
                     {"domain", DomainOf(index)},
                     {"address", PeerAddress(index).ToString()}});
  }
  for (std::size_t service = 0; service < plan_.services.size(); ++service) {
    const std::string& name = plan_.services[service].spec.name.value();
    for (std::size_t index = 0; index < plan_.services[service].endpoints;
         ++index) {
      hosts.push_back(
          {{"name", name + "-" + std::to_string(index + 1)},
           {"role", "endpoint"},
           {"state", "live"},
           {"domain", DomainOfEndpoint(index)},
           {"service", name},
           {"address", Via("endpoint>" + EndpointName(service, index),
                           EndpointAddress(service, index))
                           .ToString()}});
    }
  }
  return json::serialize(hosts);
}

}  // namespace bluebell
