#include "bluebell/http/endpoint_protocol.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace bluebell {
namespace {

namespace bhttp = boost::beast::http;

const endpoint_instance kAsked{endpoint_id("e"), incarnation(7)};

http_response Response(const std::string& headers, const std::string& body) {
  bhttp::response_parser<bhttp::string_body> parser;
  parser.eager(true);
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n" + headers + "\r\n" + body;
  boost::system::error_code failure;
  parser.put(boost::asio::buffer(bytes), failure);
  REQUIRE_FALSE(failure);
  REQUIRE(parser.is_done());
  return parser.release();
}

// Failure: the caller gets headers of the endpoint's connection or of this
// system, or an end-to-end header is lost.
TEST_CASE("an answer keeps only its end-to-end headers") {
  const order_reply reply = ReadOrderReply(
      Response("Bluebell-Instance: e/7\r\nBluebell-Clock-Ns: 5\r\nX-A: 1\r\n"
               "Connection: keep-alive\r\n",
               "body"),
      kAsked);
  CHECK(reply.outcome == request_outcome(answer{200, {{"X-A", "1"}}, "body"}));
}

// Failure: an undefined refusal counts as proof that the order wasn't run, and
// the request is sent a second time.
TEST_CASE("only defined refusals prove that an order was not run") {
  const std::string name =
      GENERATE("not_owner", "wrong_instance", "draining", "overloaded",
               "expired", "stale_dispatcher");
  const order_reply refused = ReadOrderReply(
      Response("Bluebell-Instance: e/8\r\nBluebell-Refused: " + name + "\r\n",
               ""),
      kAsked);
  CHECK(KindOf(refused.outcome) == outcome_kind::kNotRun);
  REQUIRE(refused.refusal);
  CHECK(ToString(*refused.refusal) == name);
  const order_reply undefined = ReadOrderReply(
      Response("Bluebell-Instance: e/7\r\nBluebell-Refused: x" + name + "\r\n",
               ""),
      kAsked);
  CHECK(KindOf(undefined.outcome) == outcome_kind::kUnknown);
}

// Failure: the response of another process at the same address is returned as
// the answer of the endpoint that owns the key.
TEST_CASE("an answer of another instance than the expected one is unknown") {
  const std::string header =
      GENERATE("", "Bluebell-Instance: e/8\r\n", "Bluebell-Instance: f/7\r\n",
               "Bluebell-Instance: e7\r\n", "Bluebell-Instance: /7\r\n");
  const order_reply reply = ReadOrderReply(Response(header, "x"), kAsked);
  CHECK(KindOf(reply.outcome) == outcome_kind::kUnknown);
  CHECK_FALSE(reply.refusal);
}

}  // namespace
}  // namespace bluebell
