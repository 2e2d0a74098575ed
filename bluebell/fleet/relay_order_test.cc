#include "bluebell/fleet/relay_order.h"

#include <string>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const domain_name kDomain("lk-west-a");

fleet_snapshot MakeView(int members) {
  fleet_snapshot view;
  for (int i = 0; i < members; ++i) {
    fleet_member member;
    member.instance = {daemon_id("m-" + std::to_string(i)), incarnation(1)};
    member.domain = kDomain;
    member.cpu_millis = i % 2 == 0 ? 500 : 100;
    view.members.emplace(member.instance.id, member);
  }
  return view;
}

TEST_CASE("two strong daemons of the domain are its relays") {
  const fleet_snapshot view = MakeView(20);
  const auto relays = RelaysOf(view, kDomain);
  REQUIRE(relays.size() == 2);
  CHECK(relays[0].cpu_millis == 500);
  CHECK(relays[1].cpu_millis == 500);
  CHECK(RelaysOf(view, kDomain) == relays);
  CHECK(RelaysOf(view, domain_name("lk-west-b")).empty());
}

TEST_CASE("a relay that leaves or coordinates is replaced, the other stays") {
  fleet_snapshot view = MakeView(20);
  const auto before = RelaysOf(view, kDomain);
  SECTION("leaving") {
    view.members.at(before[0].instance.id).leaving = true;
  }
  SECTION("coordinator") {
    view.coordinator = before[0].instance;
  }
  const auto after = RelaysOf(view, kDomain);
  REQUIRE(after.size() == 2);
  CHECK(after[0] == before[1]);
  CHECK(after[1] != before[0]);
}

TEST_CASE("a small domain has no relays") {
  CHECK(RelaysOf(MakeView(5), kDomain).empty());
}

}  // namespace
}  // namespace bluebell
