#include "bluebell/http/lease_json.h"

#include <catch2/catch.hpp>
#include <string>

#include "testing/endpoint_json.h"

namespace bluebell {
namespace {

const lease kLease{{17, kLastHash - 1}, epoch(9)};
const endpoint_instance kEndpoint{endpoint_id("e1"),
                                  incarnation(18'000'000'000'000'000'000U)};

TEST_CASE("endpoints read the leases that a daemon writes, to the last digit") {
  const lease_request request{kEndpoint, 1'234, {kLease}, {kLease, kLease}};
  const auto read = ParseEndpointLeases(LeaseRequestToJson(request));
  REQUIRE(read);
  CHECK(read.value() == request);
}

TEST_CASE("daemons read the replies that an endpoint writes") {
  const lease_reply reply{kEndpoint, -5, true, 1, 2, 3, {kLease}, {}};
  const auto read = ParseLeaseReply(EndpointReplyJson(reply));
  REQUIRE(read);
  CHECK(read.value() == reply);
}

TEST_CASE("a broken lease reply is an error, not an empty grant") {
  const std::string good =
      EndpointReplyJson({kEndpoint, 1, false, 0, 0, 0, {}, {}});
  const std::string text =
      GENERATE(std::string(""), std::string("[]"), std::string("{}"));
  CHECK_FALSE(ParseLeaseReply(text));
  CHECK_FALSE(ParseLeaseReply(good.substr(0, good.size() - 1)));
}

}  // namespace
}  // namespace bluebell
