#include "bluebell/routing/route.h"

#include <map>
#include <string>

#include <catch2/catch.hpp>

#include "bluebell/core/key_hash.h"

namespace bluebell {
namespace {

const instant kNow{seconds(100)};
const expected_wait kNoWait = [](const endpoint_instance&, rank) {
  return duration(0);
};

endpoint_entry Endpoint(const std::string& name, const std::string& domain) {
  endpoint_entry entry;
  entry.instance = {endpoint_id(name), incarnation(1)};
  entry.domain = domain_name(domain);
  entry.dispatcher = daemon_id("daemon-" + domain);
  return entry;
}

routing_snapshot Snapshot(bool keyed) {
  service_routes routes;
  routes.spec.name = service_name("tracker");
  routes.spec.keyed = keyed;
  routes.endpoints = {Endpoint("a1", "a"), Endpoint("a2", "a"),
                      Endpoint("b1", "b")};
  routing_snapshot snapshot;
  snapshot.self = daemon_id("daemon-a");
  snapshot.domain = domain_name("a");
  snapshot.services[routes.spec.name] = routes;
  return snapshot;
}

slice_route Slice(const slice_range& range,
                  epoch at,
                  const endpoint_instance& owner) {
  slice_route slice;
  slice.range = range;
  slice.at = at;
  slice.owner = owner;
  return slice;
}

service_routes& Routes(routing_snapshot& snapshot) {
  return snapshot.services.begin()->second;
}

caller_request Request() {
  caller_request request;
  request.service = service_name("tracker");
  request.key = "bin-4711";
  request.deadline = kNow + seconds(1);
  return request;
}

// A request that any endpoint may run if the service isn't divided by key.
caller_request IdempotentRequest() {
  caller_request request = Request();
  request.idempotent = true;
  return request;
}

not_run_reason ReasonOf(const route_decision& decision) {
  return std::get<reject_request>(decision).why.reason;
}

std::string TargetOf(const route_decision& decision) {
  if (const auto* here = std::get_if<dispatch_here>(&decision)) {
    return here->target.endpoint.instance.endpoint.value();
  }
  return std::get<forward_to>(decision)
      .target.endpoint.instance.endpoint.value();
}

// The number of requests that each endpoint gets over many random numbers.
std::map<std::string, int> Picks(const routing_snapshot& snapshot,
                                 const expected_wait& wait) {
  std::map<std::string, int> picks;
  for (std::uint64_t random = 0; random < 600; ++random) {
    ++picks[TargetOf(
        Route(snapshot, IdempotentRequest(), wait, random * 7919, kNow))];
  }
  return picks;
}

TEST_CASE(
    "a request goes to the owner of its slice at both ends of the range") {
  routing_snapshot snapshot = Snapshot(true);
  const key_hash where = HashKey(service_name("tracker"), "bin-4711");
  const bool key_is_last = GENERATE(true, false);
  const slice_range left{0, key_is_last ? where : where - 1};
  const endpoint_instance a1 = Routes(snapshot).endpoints[0].instance;
  const endpoint_instance b1 = Routes(snapshot).endpoints[2].instance;
  Routes(snapshot).slices = {Slice(left, epoch(3), a1),
                             Slice({left.last + 1, kLastHash}, epoch(4), b1)};
  const route_decision decision = Route(snapshot, Request(), kNoWait, 0, kNow);
  CHECK(TargetOf(decision) == (key_is_last ? "a1" : "b1"));
  CHECK(std::holds_alternative<dispatch_here>(decision) == key_is_last);
}

TEST_CASE("a request for a key without a usable owner is not sent") {
  routing_snapshot snapshot = Snapshot(true);
  const endpoint_instance a1 = Routes(snapshot).endpoints[0].instance;
  Routes(snapshot).slices = {Slice({}, epoch(3), a1)};
  slice_route& slice = Routes(snapshot).slices[0];

  SECTION("no slice") {
    Routes(snapshot).slices.clear();
    CHECK(ReasonOf(Route(snapshot, Request(), kNoWait, 0, kNow)) ==
          not_run_reason::kNoOwner);
  }
  SECTION("no owner") {
    slice.owner.reset();
    CHECK(ReasonOf(Route(snapshot, Request(), kNoWait, 0, kNow)) ==
          not_run_reason::kNoOwner);
  }
  SECTION("planned move: the request waits") {
    slice.in_planned_move = true;
    CHECK(std::holds_alternative<wait_for_owner>(
        Route(snapshot, Request(), kNoWait, 0, kNow)));
  }
  SECTION("lost owner") {
    Routes(snapshot).endpoints[0].condition = endpoint_condition::kLost;
    CHECK(ReasonOf(Route(snapshot, Request(), kNoWait, 0, kNow)) ==
          not_run_reason::kEndpointUnreachable);
  }
  SECTION("another run of the owner") {
    Routes(snapshot).endpoints[0].instance.run = incarnation(2);
    CHECK(ReasonOf(Route(snapshot, Request(), kNoWait, 0, kNow)) ==
          not_run_reason::kEndpointUnreachable);
  }
  SECTION("the endpoint checks no epochs and the permission has expired") {
    Routes(snapshot).spec.checks_epoch = false;
    slice.may_write_until = kNow;
    CHECK(ReasonOf(Route(snapshot, Request(), kNoWait, 0, kNow)) ==
          not_run_reason::kNoOwner);
    slice.may_write_until = kNow + milliseconds(1);
    CHECK(TargetOf(Route(snapshot, Request(), kNoWait, 0, kNow)) == "a1");
  }
}

TEST_CASE("invalid requests are refused before an endpoint is selected") {
  const routing_snapshot snapshot = Snapshot(true);
  caller_request request = Request();
  SECTION("deadline passed") {
    request.deadline = kNow;
    CHECK(ReasonOf(Route(snapshot, request, kNoWait, 0, kNow)) ==
          not_run_reason::kDeadlineExpired);
  }
  SECTION("unknown service") {
    request.service = service_name("other");
    CHECK(ReasonOf(Route(snapshot, request, kNoWait, 0, kNow)) ==
          not_run_reason::kUnknownService);
  }
  SECTION("no key") {
    request.key.reset();
    CHECK(ReasonOf(Route(snapshot, request, kNoWait, 0, kNow)) ==
          not_run_reason::kInvalidRequest);
  }
}

TEST_CASE("requests without owned keys are spread over the endpoints") {
  const std::map<std::string, int> picks = Picks(Snapshot(false), kNoWait);
  CHECK(picks.size() == 2);
  CHECK(picks.at("a1") > 200);
  CHECK(picks.at("a2") > 200);
}

TEST_CASE(
    "a repeat of a non-idempotent request without a key reaches the same "
    "endpoint") {
  routing_snapshot snapshot = Snapshot(false);
  const std::vector<slice_range> halves = DivideHashSpace(2);
  Routes(snapshot).slices = {
      Slice(halves[0], epoch(1), Routes(snapshot).endpoints[0].instance),
      Slice(halves[1], epoch(1), Routes(snapshot).endpoints[2].instance)};
  for (std::uint64_t i = 0; i < 20; ++i) {
    caller_request request = Request();
    request.id = request_id::Make(wall_instant(seconds(1)), {i, i});
    const std::string first =
        TargetOf(Route(snapshot, request, kNoWait, 0, kNow));
    for (std::uint64_t random = 1; random < 20; ++random) {
      CHECK(TargetOf(Route(snapshot, request, kNoWait, random, kNow)) == first);
    }
  }
}

TEST_CASE("draining and lost endpoints get no unkeyed requests") {
  routing_snapshot snapshot = Snapshot(false);
  endpoint_entry& a1 = Routes(snapshot).endpoints[0];
  SECTION("draining") {
    a1.condition = endpoint_condition::kDraining;
  }
  SECTION("lost") {
    a1.condition = endpoint_condition::kLost;
  }
  SECTION("drained by an operator") {
    a1.values.drain = true;
  }
  CHECK(Picks(snapshot, kNoWait) == std::map<std::string, int>{{"a2", 600}});
  Routes(snapshot).endpoints[1].condition = endpoint_condition::kLost;
  CHECK(Picks(snapshot, kNoWait) == std::map<std::string, int>{{"b1", 600}});
  Routes(snapshot).endpoints[2].condition = endpoint_condition::kLost;
  CHECK(ReasonOf(Route(snapshot, IdempotentRequest(), kNoWait, 0, kNow)) ==
        not_run_reason::kNoEndpoint);
}

TEST_CASE(
    "a request leaves a failure domain with a long wait for a shorter one") {
  const expected_wait wait = [](const endpoint_instance& instance, rank) {
    const bool is_same_domain = instance.endpoint.value().front() == 'a';
    return is_same_domain
               ? duration(2 * kCrossDomainWaitThreshold + duration(1))
               : duration(kCrossDomainWaitThreshold);
  };
  CHECK(Picks(Snapshot(false), wait) ==
        std::map<std::string, int>{{"b1", 600}});
  const expected_wait short_wait = [](const endpoint_instance& instance, rank) {
    return instance.endpoint.value() == "a2"
               ? duration(0)
               : duration(kCrossDomainWaitThreshold);
  };
  CHECK(Picks(Snapshot(false), short_wait) ==
        std::map<std::string, int>{{"a2", 600}});
}

}  // namespace
}  // namespace bluebell
