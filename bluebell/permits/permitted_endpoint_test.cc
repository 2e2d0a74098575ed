#include "bluebell/permits/permitted_endpoint.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

constexpr std::uint64_t kOwnRevision = 20;

endpoint_instance Instance(std::uint64_t run) {
  return {endpoint_id("a"), incarnation(run)};
}

address Where(std::uint16_t port) {
  return address::Parse("127.0.0.1:" + std::to_string(port)).value();
}

// A view of one endpoint, "a", with the given run.
fleet_snapshot ViewOf(std::uint64_t run, bool draining) {
  fleet_endpoint entry;
  entry.instance = Instance(run);
  entry.service = service_name("tracker");
  entry.where = Where(7'002);
  entry.draining = draining;
  fleet_snapshot view;
  view.endpoints.emplace(endpoint_id("a"), entry);
  view.endpoints_revision = store_version(kOwnRevision);
  return view;
}

fleet_snapshot EmptyView() {
  fleet_snapshot view;
  view.endpoints_revision = store_version(kOwnRevision);
  return view;
}

permit_granted Permit(std::uint64_t run, std::uint64_t revision) {
  permit_granted granted;
  granted.service = service_name("tracker");
  granted.endpoint = Instance(run);
  granted.where = Where(7'001);
  granted.endpoints_revision = revision;
  return granted;
}

TEST_CASE("a permit for an endpoint in service is used") {
  const auto endpoint =
      PermittedEndpoint(ViewOf(1, false), Permit(1, kOwnRevision - 5));
  REQUIRE(endpoint);
  CHECK(endpoint->instance == Instance(1));
  CHECK(endpoint->where == Where(7'001));
}

// Guards against DRAIN: a dispatcher that was cut off grants permits for
// endpoints that have left meanwhile.
TEST_CASE(
    "a permit of an older view isn't used for an endpoint that has left") {
  CHECK(!PermittedEndpoint(ViewOf(1, true), Permit(1, kOwnRevision - 5)));
  CHECK(!PermittedEndpoint(EmptyView(), Permit(1, kOwnRevision - 5)));
  CHECK(!PermittedEndpoint(EmptyView(), Permit(1, kOwnRevision)));
  permit_granted lapsing = Permit(1, kOwnRevision + 5);
  lapsing.lapsing = true;
  CHECK(!PermittedEndpoint(EmptyView(), lapsing));
}

// Guards against DRAIN: an endpoint has left and has started again under its
// id, and a dispatcher whose view is older still names the former process.
TEST_CASE("a permit of an older view isn't used for a former process") {
  CHECK(!PermittedEndpoint(ViewOf(2, false), Permit(1, kOwnRevision - 5)));
  CHECK(!PermittedEndpoint(ViewOf(2, false), Permit(1, kOwnRevision)));
}

TEST_CASE("a permit of a later view is used for an endpoint not known here") {
  const auto added =
      PermittedEndpoint(EmptyView(), Permit(1, kOwnRevision + 5));
  REQUIRE(added);
  CHECK(added->instance == Instance(1));
  CHECK(added->where == Where(7'001));
  const auto started_again =
      PermittedEndpoint(ViewOf(1, false), Permit(2, kOwnRevision + 5));
  REQUIRE(started_again);
  CHECK(started_again->instance == Instance(2));
}

TEST_CASE("an endpoint that drains here isn't used, whatever the permit says") {
  CHECK(!PermittedEndpoint(ViewOf(1, true), Permit(1, kOwnRevision + 5)));
  CHECK(!PermittedEndpoint(ViewOf(1, true), Permit(2, kOwnRevision + 5)));
}

}  // namespace
}  // namespace bluebell
