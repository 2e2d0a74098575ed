#include "testing/deployment_layout.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <variant>

#include "bluebell/settings/daemon_settings.h"
#include "bluebell/store/host_json.h"

namespace bluebell {
namespace {

TEST_CASE("the settings and hosts of a test region are ones daemons accept") {
  deployment_plan plan = GENERATE(LumagreenPlan(), ArmorPlan(), SmallPlan());
  plan.daemons_per_domain = 3;
  plan.with_proxy = true;
  const deployment_layout layout(plan);
  for (std::size_t daemon = 0; daemon < layout.daemon_count(); ++daemon) {
    const auto parsed = daemon_settings::Parse(layout.SettingsFor(daemon));
    REQUIRE(std::holds_alternative<daemon_settings>(parsed));
    const auto& settings = std::get<daemon_settings>(parsed);
    CHECK(settings.peers.size() == layout.daemon_count() - 1);
    CHECK(settings.services.size() == plan.services.size());
    CHECK(settings.timing.domain_autonomy == plan.timing.domain_autonomy);
  }
  CHECK(ParseHosts(layout.HostsJson()).has_value());
}

TEST_CASE("a partition cuts every route between a domain and the others") {
  deployment_plan plan = SmallPlan();
  const deployment_layout layout(plan);
  const auto cut = layout.RoutesBetween("lk-west-a");
  CHECK(std::set<std::string>(cut.begin(), cut.end()) ==
        std::set<std::string>{
            "lk-west-a>lk-west-b-entry-1", "lk-west-a>lk-west-c-entry-1",
            "lk-west-b>lk-west-a-entry-1", "lk-west-c>lk-west-a-entry-1"});
}

}  // namespace
}  // namespace bluebell
