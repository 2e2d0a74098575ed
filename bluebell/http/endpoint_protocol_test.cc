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

TEST_CASE("a whole answer keeps its end-to-end headers only") {
  const order_reply reply = ReadOrderReply(
      Response("Bluebell-Instance: e/7\r\nBluebell-Clock-Ns: 5\r\nX-A: 1\r\n"
               "Connection: keep-alive\r\n",
               "body"),
      kAsked);
  CHECK(reply.outcome == request_outcome(answer{200, {{"X-A", "1"}}, "body"}));
}

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

TEST_CASE("an answer of another instance is not passed off as the asked one") {
  const std::string header =
      GENERATE("", "Bluebell-Instance: e/8\r\n", "Bluebell-Instance: f/7\r\n",
               "Bluebell-Instance: e7\r\n", "Bluebell-Instance: /7\r\n");
  const order_reply reply = ReadOrderReply(Response(header, "x"), kAsked);
  CHECK(KindOf(reply.outcome) == outcome_kind::kUnknown);
  CHECK_FALSE(reply.refusal);
}

}  // namespace
}  // namespace bluebell
