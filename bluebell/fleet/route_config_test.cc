#include "bluebell/fleet/route_config.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

service_route Route(const std::string& name,
                    const std::string& host,
                    const std::string& prefix) {
  service_route route;
  route.name = name;
  route.host = host;
  route.prefix = prefix;
  route.shares = {{service_name("tracker"), 1}};
  return route;
}

const std::vector<fleet_service> kServices = {
    {service_name("tracker"), true, 10}};

TEST_CASE("the route with the longest prefix is found") {
  const auto config = route_config::Make(
      config_version(1),
      {Route("short", "a.example", "/x/"), Route("long", "a.example", "/x/y/"),
       Route("other", "b.example", "/")},
      kServices, {});
  REQUIRE(config);
  CHECK(config.value().FindRoute("a.example", "/x/y/z")->name == "long");
  CHECK(config.value().FindRoute("A.Example:80", "/x/y")->name == "short");
  CHECK(config.value().FindRoute("a.example", "/x") == nullptr);
  CHECK(config.value().FindRoute("b.example", "/anything")->name == "other");
  CHECK(config.value().FindRoute("c.example", "/x/") == nullptr);
}

TEST_CASE(
    "a configuration with an unknown service or a bad prefix is rejected") {
  CHECK(
      !route_config::Make(config_version(1), {Route("r", "a", "/x/")}, {}, {}));
  CHECK(!route_config::Make(config_version(1), {Route("r", "a", "/x")},
                            kServices, {}));
  service_route empty = Route("r", "a", "/x/");
  empty.shares = {{service_name("tracker"), 0}};
  CHECK(!route_config::Make(config_version(1), {empty}, kServices, {}));
}

}  // namespace
}  // namespace bluebell
