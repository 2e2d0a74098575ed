#include "bluebell/fleet/route_config.h"

#include <algorithm>
#include <utility>

namespace bluebell {

namespace {

std::string LowerHost(std::string_view host) {
  std::string lower(host.substr(0, host.find(':')));
  std::transform(lower.begin(), lower.end(), lower.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return lower;
}

error Invalid(const service_route& route, std::string detail) {
  return {errc::kInvalidArgument, step::kParseConfig, "route " + route.name,
          std::move(detail)};
}

bool HasSlashes(const std::string& prefix) {
  return !prefix.empty() && prefix.front() == '/' && prefix.back() == '/';
}

}  // namespace

result<route_config> route_config::Make(config_version version,
                                        std::vector<service_route> routes,
                                        std::vector<fleet_service> services,
                                        const caller_bounds& bounds) {
  route_config config;
  config.version_ = version;
  config.services_ = std::move(services);
  config.bounds_ = bounds;
  for (service_route& route : routes) {
    if (!HasSlashes(route.prefix)) {
      return Invalid(route, "the prefix must begin and end with a slash");
    }
    std::uint64_t total_weight = 0;
    for (const service_share& share : route.shares) {
      if (config.FindService(share.service) == nullptr) {
        return Invalid(route, "unknown service " + share.service.value());
      }
      total_weight += share.weight;
    }
    if (total_weight == 0) {
      return Invalid(route, "no service with a positive weight");
    }
    config.takes_uploads_ =
        config.takes_uploads_ || route.kind == request_kind::kUpload;
    config.routes_by_host_[LowerHost(route.host)].push_back(std::move(route));
  }
  for (auto& [host, host_routes] : config.routes_by_host_) {
    std::stable_sort(host_routes.begin(), host_routes.end(),
                     [](const service_route& a, const service_route& b) {
                       return a.prefix.size() > b.prefix.size();
                     });
  }
  return config;
}

const service_route* route_config::FindRoute(std::string_view host,
                                             std::string_view path) const {
  const auto host_routes = routes_by_host_.find(LowerHost(host));
  if (host_routes == routes_by_host_.end()) {
    return nullptr;
  }
  const auto found =
      std::find_if(host_routes->second.begin(), host_routes->second.end(),
                   [&](const service_route& route) {
                     return path.starts_with(route.prefix);
                   });
  return found == host_routes->second.end() ? nullptr : &*found;
}

const fleet_service* route_config::FindService(const service_name& name) const {
  const auto found = std::find_if(
      services_.begin(), services_.end(),
      [&](const fleet_service& service) { return service.name == name; });
  return found == services_.end() ? nullptr : &*found;
}

}  // namespace bluebell
