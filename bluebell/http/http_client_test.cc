#include "bluebell/http/http_client.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>
#include <catch2/catch.hpp>

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

// Answers each request with its number among all requests. Before the second
// and any later response on a connection, `extra` is sent, or a copy of the one
// before.
class repeating_server {
 public:
  explicit repeating_server(std::string extra = "")
      : extra_(std::move(extra)),
        acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  repeating_server(const repeating_server&) = delete;
  repeating_server& operator=(const repeating_server&) = delete;
  ~repeating_server() {
    io_.stop();
    thread_.join();
  }

  address where() const {
    return address::Parse("127.0.0.1:" +
                          std::to_string(acceptor_.local_endpoint().port()))
        .value();
  }

 private:
  struct session {
    explicit session(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string received;
    std::string last;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code failure, tcp::socket socket) {
          if (!failure) {
            Serve(std::make_shared<session>(std::move(socket)));
            Accept();
          }
        });
  }

  void Serve(const std::shared_ptr<session>& served) {
    asio::async_read_until(
        served->socket, asio::dynamic_buffer(served->received), "\r\n\r\n",
        [this, served](boost::system::error_code failure, std::size_t size) {
          if (failure) {
            return;
          }
          served->received.erase(0, size);
          const std::string body = std::to_string(++requests_);
          const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: " +
                                       std::to_string(body.size()) +
                                       "\r\n\r\n" + body;
          asio::write(served->socket, asio::buffer(served->last + response),
                      failure);
          served->last = extra_.empty() ? response : extra_;
          Serve(served);
        });
  }

  std::string extra_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  int requests_ = 0;
  std::thread thread_;
};

result<http_response> Call(asio::io_context& io, http_client& client) {
  std::optional<result<http_response>> outcome;
  client.Call(
      http_request(boost::beast::http::verb::get, "/order", 11), seconds(2),
      step::kGrantLease,
      [&](const result<http_response>& response) { outcome = response; });
  io.restart();
  io.run();
  return std::move(outcome).value();
}

// Guards against keys that are granted while their holder still works on them:
// a copy of the response to a grant was taken for the confirmation of a release
// on the same connection.
TEST_CASE("a copy of a response doesn't answer a call that must have proof") {
  repeating_server server;
  asio::io_context io;
  http_client_options options;
  options.reuse_connections = false;
  auto client = http_client::Make(io, server.where(), options).value();
  for (const std::string expected : {"1", "2", "3"}) {
    const result<http_response> outcome = Call(io, *client);
    REQUIRE(outcome.has_value());
    CHECK(outcome.value().body() == expected);
  }
}

// Guards against a grant that counts as accepted though the endpoint refused
// it: a part of a success precedes the response and gives its status to it.
TEST_CASE("a part of a response doesn't merge with the response to a call") {
  repeating_server server("HTTP/1.1 201 Created\r\nServer: s");
  asio::io_context io;
  auto client =
      http_client::Make(io, server.where(), http_client_options()).value();
  const result<http_response> first = Call(io, *client);
  REQUIRE(first.has_value());
  CHECK(first.value().result_int() == 200);
  const result<http_response> merged = Call(io, *client);
  REQUIRE_FALSE(merged.has_value());
  CHECK(merged.error().code() == errc::kConnectionLost);
}

}  // namespace
}  // namespace bluebell
