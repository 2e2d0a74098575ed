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

// Guards against a policy for uploads in a fleet without them, and without it
// in one with them.
TEST_CASE("a configuration says whether a route takes uploads") {
  service_route upload = Route("upload", "b.example", "/x/");
  upload.kind = request_kind::kUpload;
  const service_route other = Route("other", "a.example", "/x/");
  const auto without =
      route_config::Make(config_version(1), {other}, kServices, {});
  const auto with =
      route_config::Make(config_version(2), {upload, other}, kServices, {});
  CHECK(!without.value().takes_uploads());
  CHECK(with.value().takes_uploads());
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
