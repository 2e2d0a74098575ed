#include "bluebell/endpoint/endpoint_connection.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <catch2/catch.hpp>

#include "bluebell/http/endpoint_protocol.h"
#include "bluebell/http/internal/impossible_responses.h"
#include "bluebell/http/internal/response_script.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kInstanceLine = "Bluebell-Instance: e-1/5\r\n";
const endpoint_instance kInstance{endpoint_id("e-1"), incarnation(5)};

// The end of one exchange on a connection of its own with a server that sends
// `bytes`, or nullopt if it doesn't end. `is_open` tells whether the connection
// could carry another one.
std::optional<exchange_end> EndOf(const std::string& bytes,
                                  boost::beast::http::verb method,
                                  bool& is_open) {
  asio::io_context io;
  response_script server(
      io, [&](std::vector<std::string>& /*sent*/) { return bytes; });
  const auto connection =
      std::make_shared<endpoint_connection>(io, server.where());
  std::optional<exchange_end> end;
  connection->WhenConnected([&](boost::system::error_code failure) {
    REQUIRE(!failure);
    connection->Exchange(http_request(method, "/x", 11),
                         [&](exchange_end& ended) { end = std::move(ended); });
  });
  const instant limit = std::chrono::steady_clock::now() + seconds(2);
  while (!end && std::chrono::steady_clock::now() < limit) {
    io.run_one_for(milliseconds(10));
  }
  is_open = connection->IsIdle();
  connection->Close();
  io.run_for(milliseconds(0));
  return end;
}

// Guards against an order whose answer has a status that no caller can read,
// such as 000 from an endpoint in trouble, and against bytes behind such a
// response that are taken for the answer. The instance is the right one, so
// nothing later would refuse the answer.
TEST_CASE("a response with an impossible status isn't an answer") {
  const auto method =
      GENERATE(boost::beast::http::verb::get, boost::beast::http::verb::post);
  const std::string valid = "HTTP/1.1 200 OK\r\n" + std::string(kInstanceLine) +
                            "Content-Length: 5\r\n\r\nvalid";
  for (const std::string& each : ImpossibleResponses(kInstanceLine, "body")) {
    for (const std::string& bytes : {each, each + valid}) {
      CAPTURE(bytes);
      bool is_open = true;
      const std::optional<exchange_end> end = EndOf(bytes, method, is_open);
      REQUIRE(end);
      const auto* failure = std::get_if<exchange_failure>(&*end);
      REQUIRE(failure != nullptr);
      CHECK(failure->first_byte_written);
      CHECK_FALSE(is_open);
    }
  }
}

// Guards against a check that refuses the statuses that endpoints may send.
TEST_CASE("the first and the last possible status are answers") {
  for (const unsigned status : {200U, 404U, 599U}) {
    bool is_open = false;
    std::optional<exchange_end> end =
        EndOf("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " +
                  std::to_string(status) + " OK\r\n" +
                  std::string(kInstanceLine) + "Content-Length: 0\r\n\r\n",
              boost::beast::http::verb::get, is_open);
    REQUIRE(end);
    REQUIRE(std::holds_alternative<http_response>(*end));
    const order_reply reply =
        ReadOrderReply(std::move(std::get<http_response>(*end)), kInstance);
    CHECK(std::get<answer>(reply.outcome).status == status);
    CHECK(is_open);
  }
}

}  // namespace
}  // namespace bluebell
