// One version of the operators' configuration: routes, services and limits on
// callers' connections. An immutable value.
//
//   auto config = route_config::Make(version, routes, services, bounds);
//   const service_route* route = config.value().FindRoute(host, path);

#ifndef BLUEBELL_FLEET_ROUTE_CONFIG_H_
#define BLUEBELL_FLEET_ROUTE_CONFIG_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"
#include "bluebell/fleet/caller_bounds.h"
#include "bluebell/fleet/fleet_service.h"
#include "bluebell/fleet/service_route.h"

namespace bluebell {

class route_config {
 public:
  // A configuration without version, routes and services.
  route_config() = default;

  // Fails with errc::kInvalidArgument if a route names a service that isn't in
  // `services`, has no service with a positive weight, or has a prefix that
  // doesn't begin and end with a slash.
  static result<route_config> Make(config_version version,
                                   std::vector<service_route> routes,
                                   std::vector<fleet_service> services,
                                   const caller_bounds& bounds);

  // The route of `host` with the longest prefix of `path`, or null. The port
  // and the letter case of `host` are ignored. `path` has no query part.
  const service_route* FindRoute(std::string_view host,
                                 std::string_view path) const;
  // Null if there is no service of this name.
  const fleet_service* FindService(const service_name& name) const;

  const config_version& version() const { return version_; }
  const std::vector<fleet_service>& services() const { return services_; }
  const caller_bounds& bounds() const { return bounds_; }
  // True if a route takes uploads.
  bool takes_uploads() const { return takes_uploads_; }

  friend bool operator==(const route_config&, const route_config&) = default;

 private:
  config_version version_;
  // Each host's routes, longest prefix first.
  std::map<std::string, std::vector<service_route>, std::less<>>
      routes_by_host_;
  std::vector<fleet_service> services_;
  caller_bounds bounds_;
  bool takes_uploads_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_ROUTE_CONFIG_H_
