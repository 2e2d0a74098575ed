#include "bluebell/http/http_client.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/verb.hpp>
#include <catch2/catch.hpp>

#include "bluebell/http/internal/framing_samples.h"
#include "bluebell/http/internal/response_script.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Failure: a grant times out while the network is cut, and its connection is
// closed without a reset. The grant, with an old fence, then reaches the
// endpoint after the cut.
TEST_CASE("a call that timed out can't be received later") {
  asio::io_context server_io;
  tcp::acceptor acceptor(server_io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::io_context io;
  const address remote_address =
      address::Parse("127.0.0.1:" +
                     std::to_string(acceptor.local_endpoint().port()))
          .value();
  auto client =
      http_client::Make(io, remote_address, http_client_options()).value();
  std::optional<result<http_response>> outcome;
  client->Call(
      http_request(boost::beast::http::verb::post, "/grant", 11),
      milliseconds(100), step::kGrantLease,
      [&](const result<http_response>& response) { outcome = response; });
  io.run();
  REQUIRE(outcome);
  CHECK(outcome->error().code() == errc::kTimeout);
  tcp::socket socket = acceptor.accept();
  std::string received(1'000, '\0');
  boost::system::error_code failure;
  // Bytes that arrived earlier can still be read; then the read must fail with
  // a reset, not with the end of the stream.
  while (!failure) {
    socket.read_some(asio::buffer(received), failure);
  }
  CHECK(failure == asio::error::connection_reset);
}

// Reads what arrives on `socket` until it ends. Returns the bytes and why it
// ended.
std::pair<std::string, boost::system::error_code> ReadToEnd(
    tcp::socket& socket) {
  std::string received;
  std::string part(1'000, '\0');
  boost::system::error_code failure;
  while (!failure) {
    received.append(part, 0, socket.read_some(asio::buffer(part), failure));
  }
  return {received, failure};
}

// Failure: a daemon stops being the coordinator while the connection for one of
// its orders is being opened. The order is written when the connection is open,
// after the daemon has told its successor that it sends no more.
TEST_CASE("a call whose authority ends before it is written sends nothing") {
  asio::io_context server_io;
  tcp::acceptor acceptor(server_io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::io_context io;
  const address remote_address =
      address::Parse("127.0.0.1:" +
                     std::to_string(acceptor.local_endpoint().port()))
          .value();
  auto client =
      http_client::Make(io, remote_address, http_client_options()).value();
  bool has_authority = true;
  std::optional<result<http_response>> outcome;
  client->Call(
      http_request(boost::beast::http::verb::post, "/grant", 11), seconds(1),
      step::kGrantLease,
      [&](const result<http_response>& response) { outcome = response; },
      [&] { return has_authority; });
  // The call has started, and its connection isn't open yet.
  io.run_one();
  has_authority = false;
  io.run();
  REQUIRE(outcome);
  REQUIRE(!outcome->has_value());
  CHECK(outcome->error().code() == errc::kUnavailable);
  tcp::socket socket = acceptor.accept();
  CHECK(ReadToEnd(socket).first.empty());
}

// Failure: the connection of a release stays open for seconds after its sender
// has stopped being the coordinator, and after a cut of the network the release
// reaches the endpoint when the successor has already granted the keys again.
TEST_CASE("a canceled call can't be received later") {
  asio::io_context server_io;
  tcp::acceptor acceptor(server_io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  asio::io_context io;
  const address remote_address =
      address::Parse("127.0.0.1:" +
                     std::to_string(acceptor.local_endpoint().port()))
          .value();
  auto client =
      http_client::Make(io, remote_address, http_client_options()).value();
  std::optional<result<http_response>> outcome;
  client->Call(
      http_request(boost::beast::http::verb::post, "/release", 11), seconds(6),
      step::kGrantLease,
      [&](const result<http_response>& response) { outcome = response; });
  io.run_for(milliseconds(50));
  REQUIRE(!outcome);
  client->CancelCalls();
  io.run_for(seconds(1));
  REQUIRE(outcome);
  CHECK(outcome->error().code() == errc::kConnectionLost);
  tcp::socket socket = acceptor.accept();
  CHECK(ReadToEnd(socket).second == asio::error::connection_reset);
}

// Answers each request with its number among all requests. Before the second
// and any later response on a connection, `extra` is sent, or a copy of the one
// before.
response_script::next_bytes Repeating(std::string extra = "") {
  return [extra = std::move(extra),
          requests = 0](std::vector<std::string>& sent) mutable {
    const std::string body = std::to_string(++requests);
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
    const std::string before = sent.empty() ? "" : sent.back();
    sent.push_back(extra.empty() ? response : extra);
    return before + response;
  };
}

// Guards against keys that are granted while their holder still works on them:
// a copy of the response to a grant was taken for the confirmation of a release
// on the same connection.
TEST_CASE("a copy of a response doesn't answer a call that must have proof") {
  asio::io_context io;
  response_script server(io, Repeating());
  http_client_options options;
  options.reuse_connections = false;
  auto client = http_client::Make(io, server.where(), options).value();
  for (const std::string expected : {"1", "2", "3"}) {
    const result<http_response> outcome = CallOnce(io, *client, seconds(2));
    REQUIRE(outcome.has_value());
    CHECK(outcome.value().body() == expected);
  }
}

// Guards against a grant that counts as accepted though the endpoint refused
// it: a part of a success precedes the response and gives its status to it.
TEST_CASE("a part of a response doesn't merge with the response to a call") {
  asio::io_context io;
  response_script server(io, Repeating("HTTP/1.1 201 Created\r\nServer: s"));
  auto client =
      http_client::Make(io, server.where(), http_client_options()).value();
  const result<http_response> first = CallOnce(io, *client, seconds(2));
  REQUIRE(first.has_value());
  CHECK(first.value().result_int() == 200);
  const result<http_response> merged = CallOnce(io, *client, seconds(2));
  REQUIRE_FALSE(merged.has_value());
  CHECK(merged.error().code() == errc::kConnectionLost);
}

// Guards against an order about keys that counts as carried out because of a
// response whose end has more than one reading.
TEST_CASE("only framings with one reading are taken as responses to calls") {
  const std::string inner = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner";
  for (const framing_sample& sample : FramingSamples()) {
    if (sample.response_ends_with_connection) {
      // The server here doesn't close its connections.
      continue;
    }
    asio::io_context io;
    std::vector<bool> is_first_on_connection;
    response_script server(io, [&](std::vector<std::string>& sent) {
      is_first_on_connection.push_back(sent.empty());
      sent.push_back(ResponseBytes(sample, "") + inner);
      return sent.back();
    });
    auto client =
        http_client::Make(io, server.where(), http_client_options()).value();
    const std::vector<result<http_response>> outcomes{
        CallOnce(io, *client, seconds(2)), CallOnce(io, *client, seconds(2))};
    CAPTURE(sample.name);
    for (const result<http_response>& outcome : outcomes) {
      CHECK(outcome.has_value() == sample.response_taken);
      CHECK((!outcome || outcome.value().body() == sample.body));
    }
    CHECK(is_first_on_connection == std::vector<bool>{true, true});
  }
}

// Guards against a confirmation or a handover value in a trailer, which the
// endpoint's own header doesn't have.
TEST_CASE("trailers of a response to a call are ignored") {
  asio::io_context io;
  response_script server(io, [](std::vector<std::string>& /*sent*/) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\none\r\n0\r\nLate: 1\r\n\r\n";
  });
  auto client =
      http_client::Make(io, server.where(), http_client_options()).value();
  const result<http_response> outcome = CallOnce(io, *client, seconds(2));
  REQUIRE(outcome.has_value());
  CHECK(outcome.value().body() == "one");
  CHECK(outcome.value().count("Late") == 0);
}

}  // namespace
}  // namespace bluebell
