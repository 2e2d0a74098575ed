#include "bluebell/proxy/permit_dispatcher.h"

#include <memory>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/permits/domain_policy.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {
namespace {

const instant kStart = instant(seconds(1'000));
const service_name kKeyed("manifest");
const service_name kKeyless("photos");

fleet_view MakeView(request_kind kind) {
  service_route route;
  route.name = "photos";
  route.host = "a.example";
  route.prefix = "/photos/";
  route.kind = kind;
  route.shares = {{kKeyless, 1}};
  auto snapshot = std::make_shared<fleet_snapshot>();
  snapshot->config = std::make_shared<const route_config>(
      route_config::Make(
          config_version(1), {route},
          {{kKeyed, true, 10, {}, 0}, {kKeyless, false, 10, {}, 0}}, {})
          .value());
  return snapshot;
}

// Guards against a forecast in a fleet that takes no uploads, or for the owners
// of keys, and against one that stays in force when the uploads are gone.
TEST_CASE("the policy for other domains follows the configuration") {
  boost::asio::io_context io;
  metrics_registry metrics;
  const daemon_instance self{daemon_id("d-1"), incarnation(1)};
  permit_dispatcher dispatcher(io, self, {}, 250, metrics);
  const auto policy_of = [&](const service_name& service) {
    return dispatcher.FindScheduler(service)->policy();
  };
  const domain_policy fixed = fixed_domain_cost();
  dispatcher.SetView(MakeView(request_kind::kNonIdempotent), kStart);
  CHECK(policy_of(kKeyless) == fixed);
  dispatcher.SetView(MakeView(request_kind::kUpload), kStart);
  CHECK(policy_of(kKeyless) == domain_policy(forecast_domain_cost{250}));
  CHECK(policy_of(kKeyed) == fixed);
  dispatcher.SetView(MakeView(request_kind::kIdempotent), kStart);
  CHECK(policy_of(kKeyless) == fixed);
}

}  // namespace
}  // namespace bluebell
