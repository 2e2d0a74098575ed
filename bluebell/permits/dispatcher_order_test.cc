#include "bluebell/permits/dispatcher_order.h"

#include <set>
#include <string>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

fleet_snapshot MakeView(int members) {
  fleet_snapshot view;
  view.config = std::make_shared<const route_config>(
      route_config::Make(config_version(1), {},
                         {{service_name("tracker"), true, 10},
                          {service_name("booker"), false, 10}},
                         {})
          .value());
  for (int i = 0; i < members; ++i) {
    const daemon_id id("front-" + std::to_string(i));
    view.members[id] = {{id, incarnation(1)},
                        domain_name("a"),
                        address::Parse("10.0.0.1:7200").value(),
                        i < 2 ? 100U : 500U,
                        false};
  }
  view.coordinator = daemon_instance{daemon_id("front-3"), incarnation(1)};
  return view;
}

TEST_CASE("the coordinator dispatches keyed services but not others") {
  const fleet_snapshot view = MakeView(5);
  const auto keyed = DispatcherOrder(view, service_name("tracker"));
  REQUIRE(keyed.size() == 5);
  CHECK(keyed.front().instance.id == daemon_id("front-3"));
  CHECK(DispatcherOrder(view, service_name("booker")).front().instance.id !=
        daemon_id("front-3"));
}

TEST_CASE(
    "daemons with little processor time dispatch only when no other is left") {
  const auto order = DispatcherOrder(MakeView(5), service_name("booker"));
  CHECK(order[3].cpu_millis == 100);
  CHECK(order[4].cpu_millis == 100);
}

TEST_CASE("a leaving daemon comes last even if it is the coordinator") {
  fleet_snapshot view = MakeView(5);
  view.members[daemon_id("front-3")].leaving = true;
  CHECK(DispatcherOrder(view, service_name("tracker")).back().instance.id ==
        daemon_id("front-3"));
}

TEST_CASE("the loss of another daemon doesn't change a service's dispatcher") {
  fleet_snapshot view = MakeView(8);
  const auto before = DispatcherOrder(view, service_name("booker"));
  view.members.erase(before[4].instance.id);
  CHECK(DispatcherOrder(view, service_name("booker")).front() ==
        before.front());
}

}  // namespace
}  // namespace bluebell
