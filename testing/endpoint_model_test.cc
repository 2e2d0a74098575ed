#include "testing/endpoint_model.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const endpoint_instance kSelf{endpoint_id("tracker-1"), incarnation(7)};
constexpr slice_range kWhole{0, kLastHash};
constexpr std::int64_t kFar = 1'000'000;

endpoint_model MakeEndpoint(std::uint32_t slots = 1,
                            std::uint32_t queue_limit = 1,
                            bool checks_epoch = true) {
  endpoint_traits traits;
  traits.self = kSelf;
  traits.slots = slots;
  traits.queue_limit = queue_limit;
  traits.checks_epoch = checks_epoch;
  traits.drain_grace_ns = 100;
  return {traits, 0};
}

lease_request GrantOf(const slice_range& range,
                      std::uint64_t at,
                      std::int64_t expires_at_ns) {
  return {kSelf, expires_at_ns, {{range, epoch(at)}}, {}};
}

lease_request RevocationOf(const slice_range& range, std::uint64_t at) {
  return {kSelf, 0, {}, {{range, epoch(at)}}};
}

endpoint_order OrderFor(key_hash first, std::uint64_t at) {
  endpoint_order order;
  order.to = kSelf;
  order.slice = slice_claim{first, epoch(at)};
  order.deadline_ns = kFar;
  return order;
}

TEST_CASE("a lease does not outlast its expiry on the endpoint's clock") {
  endpoint_model endpoint = MakeEndpoint();
  endpoint.Handle(GrantOf(kWhole, 3, 100), 0);
  CHECK(endpoint.Holds(5, 99));
  CHECK_FALSE(endpoint.Holds(5, 100));
  CHECK(endpoint.Admit(OrderFor(0, 3), 100) ==
        order_decision(refuse_order{refusal::kNotOwner}));
}

TEST_CASE("a delayed renewal neither shortens nor revives a lease") {
  endpoint_model endpoint = MakeEndpoint();
  endpoint.Handle(GrantOf(kWhole, 3, 200), 0);
  endpoint.Handle(GrantOf(kWhole, 3, 100), 50);
  CHECK(endpoint.Holds(5, 150));
  endpoint.Handle(GrantOf(kWhole, 3, 100), 250);
  CHECK_FALSE(endpoint.Holds(5, 250));
}

TEST_CASE("a grant at or below a revoked epoch of any part is refused") {
  endpoint_model endpoint = MakeEndpoint();
  CHECK(endpoint.Handle(RevocationOf({50, 60}, 4), 0).revoked.size() == 1);
  CHECK(endpoint.Handle(GrantOf({0, 100}, 4, kFar), 1).refused.size() == 1);
  CHECK_FALSE(endpoint.Holds(10, 2));
  CHECK(endpoint.Handle(GrantOf({0, 49}, 4, kFar), 1).refused.empty());
  CHECK(endpoint.Handle(GrantOf({50, 60}, 5, kFar), 1).refused.empty());
  CHECK(endpoint.Holds(55, 2));
}

TEST_CASE("a lower epoch than one seen is refused, even if that one expired") {
  endpoint_model endpoint = MakeEndpoint();
  endpoint.Handle(GrantOf({50, 60}, 8, 10), 0);
  CHECK(endpoint.Handle(GrantOf(kWhole, 7, kFar), 20).refused.size() == 1);
  CHECK_FALSE(endpoint.Holds(55, 20));
}

TEST_CASE("a higher epoch leaves the rest of a wider lease in force") {
  endpoint_model endpoint = MakeEndpoint();
  endpoint.Handle(GrantOf({0, 100}, 1, kFar), 0);
  endpoint.Handle(GrantOf({50, 50}, 2, kFar), 0);
  const std::vector<lease> expected = {
      {{0, 49}, epoch(1)}, {{50, 50}, epoch(2)}, {{51, 100}, epoch(1)}};
  CHECK(endpoint.LeasesAt(1) == expected);
}

TEST_CASE("a request for another run changes nothing") {
  endpoint_model endpoint = MakeEndpoint();
  lease_request request = GrantOf(kWhole, 3, kFar);
  request.to.run = incarnation(6);
  const lease_reply reply = endpoint.Handle(request, 0);
  CHECK(reply.from == kSelf);
  CHECK(reply.refused == request.granted);
  CHECK_FALSE(endpoint.Holds(5, 0));
  request.to.run = incarnation(0);
  CHECK(endpoint.Handle(request, 0).refused.empty());
  CHECK(endpoint.Holds(5, 0));
}

TEST_CASE("a revocation is confirmed only once no order under it runs") {
  endpoint_model endpoint = MakeEndpoint();
  endpoint.Handle(GrantOf(kWhole, 3, kFar), 0);
  const auto running = std::get<run_order>(endpoint.Admit(OrderFor(0, 3), 1));
  CHECK(endpoint.Handle(RevocationOf({50, 60}, 3), 2).revoked.empty());
  CHECK_FALSE(endpoint.Holds(55, 2));
  CHECK(endpoint.Finish(running.ticket, 3).empty());
  CHECK(endpoint.Handle(RevocationOf({50, 60}, 3), 4).revoked.size() == 1);
}

TEST_CASE("an order that waited past its lease is refused, not run") {
  endpoint_model endpoint = MakeEndpoint();
  endpoint.Handle(GrantOf(kWhole, 3, 100), 0);
  const auto running = std::get<run_order>(endpoint.Admit(OrderFor(0, 3), 1));
  const auto waiting = std::get<queue_order>(endpoint.Admit(OrderFor(0, 3), 2));
  CHECK(endpoint.Admit(OrderFor(0, 3), 3) ==
        order_decision(refuse_order{refusal::kOverloaded}));
  const std::vector<late_decision> expected = {
      {waiting.ticket, refuse_order{refusal::kNotOwner}}};
  CHECK(endpoint.Finish(running.ticket, 100) == expected);
  CHECK(endpoint.Report(101).in_flight == 0);
}

TEST_CASE("orders of another epoch, instance or dispatcher are refused") {
  endpoint_model endpoint = MakeEndpoint(8);
  endpoint.Handle(GrantOf(kWhole, 3, kFar), 0);
  const auto reason = [&](const endpoint_order& order) {
    return std::get<refuse_order>(endpoint.Admit(order, 1)).reason;
  };
  CHECK(reason(OrderFor(0, 2)) == refusal::kNotOwner);
  CHECK(reason(OrderFor(0, 4)) == refusal::kNotOwner);
  endpoint_order order = OrderFor(0, 3);
  order.to.run = incarnation(6);
  CHECK(reason(order) == refusal::kWrongInstance);
  order = OrderFor(0, 3);
  order.deadline_ns = 1;
  CHECK(reason(order) == refusal::kExpired);
  order = OrderFor(0, 3);
  order.dispatcher_epoch = 9;
  CHECK(std::holds_alternative<run_order>(endpoint.Admit(order, 1)));
  order.dispatcher_epoch = 8;
  CHECK(reason(order) == refusal::kStaleDispatcher);
}

TEST_CASE("an endpoint that checks nothing runs any order") {
  endpoint_model endpoint = MakeEndpoint(1, 1, false);
  CHECK(std::holds_alternative<run_order>(endpoint.Admit(OrderFor(0, 2), 1)));
}

TEST_CASE("a draining endpoint reports it at once and refuses after a grace") {
  endpoint_model endpoint = MakeEndpoint(8);
  endpoint.Handle(GrantOf(kWhole, 3, kFar), 0);
  endpoint.Drain(10);
  CHECK(endpoint.Report(10).draining);
  CHECK(std::holds_alternative<run_order>(endpoint.Admit(OrderFor(0, 3), 109)));
  CHECK(endpoint.Admit(OrderFor(0, 3), 110) ==
        order_decision(refuse_order{refusal::kDraining}));
}

TEST_CASE("a cold endpoint is slower until it is warm") {
  endpoint_traits traits;
  traits.cold_factor = 3.0;
  traits.warm_up_ns = 100;
  const endpoint_model endpoint(traits, 1'000);
  CHECK(endpoint.ServiceFactor(1'000) == Approx(3.0));
  CHECK(endpoint.ServiceFactor(1'050) == Approx(2.0));
  CHECK(endpoint.ServiceFactor(1'100) == Approx(1.0));
}

}  // namespace
}  // namespace bluebell
