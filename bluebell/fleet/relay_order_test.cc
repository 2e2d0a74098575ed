#include "bluebell/fleet/relay_order.h"

#include <iterator>
#include <string>
#include <vector>

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

// Guards against daemons that all ask the store, or that all ask each other.
TEST_CASE("all daemons of a domain have the same confirming peers") {
  fleet_snapshot view = MakeView(5);
  const auto first = ConfirmingPeersOf(view, kDomain);
  REQUIRE(first.size() == 1);
  const auto other =
      view.members.find(first[0].instance.id) == view.members.begin()
          ? std::next(view.members.begin())
          : view.members.begin();
  view.coordinator = other->second.instance;
  CHECK(ConfirmingPeersOf(view, kDomain) ==
        std::vector<fleet_member>{other->second});
  other->second.leaving = true;
  CHECK(ConfirmingPeersOf(view, kDomain) == first);
  CHECK(ConfirmingPeersOf(MakeView(0), kDomain).empty());
  view = MakeView(20);
  CHECK(ConfirmingPeersOf(view, kDomain) == RelaysOf(view, kDomain));
}

}  // namespace
}  // namespace bluebell
