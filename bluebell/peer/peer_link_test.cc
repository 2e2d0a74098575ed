#include "bluebell/peer/peer_link.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "bluebell/peer/peer_server.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "bluebell/wire/frame.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const address kAnyPort = address::Parse("127.0.0.1:0").value();
constexpr milliseconds kTimeout{300};

// Runs `io` until `done` returns true, for at most five seconds.
bool RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  const instant last = std::chrono::steady_clock::now() + seconds(5);
  while (!done() && std::chrono::steady_clock::now() < last) {
    io.run_for(milliseconds(5));
    io.restart();
  }
  return done();
}

struct link_fixture {
  asio::io_context io;
  metrics_registry metrics;
  std::unique_ptr<peer_server> server;
  std::unique_ptr<peer_link> link;

  void Serve(const peer_handler& handler) {
    server = peer_server::Make({&io}, kAnyPort, handler, metrics).value();
    Link(server->listen_address());
  }

  void Link(const address& peer_address) {
    link = peer_link::Make(io, peer_address, {}, metrics).value();
  }

  result<wire_message> SendRequest(const wire_message& message) {
    std::optional<result<wire_message>> reply;
    link->SendRequest(message, kTimeout,
                      [&](const auto& outcome) { reply = outcome; });
    RunUntil(io, [&] { return reply.has_value(); });
    return reply.value();
  }
};

state_reply ReplyNamed(const std::string& name) {
  state_reply reply;
  reply.sender = daemon_id(name);
  return reply;
}

void Echo(const wire_message& message,
          const std::string& /*peer*/,
          const peer_reply& reply) {
  reply(ReplyNamed(std::get<state_request>(message).sender.value()));
}

TEST_CASE("answers that arrive out of order reach their requests") {
  link_fixture test;
  std::vector<std::function<void()>> replies;
  test.Serve([&](const wire_message& message, const std::string& peer,
                 const peer_reply& reply) {
    replies.emplace_back([=] { Echo(message, peer, reply); });
  });
  std::vector<std::string> seen;
  for (const std::string name : {"a", "b", "c"}) {
    test.link->SendRequest(state_request{daemon_id(name)}, kTimeout,
                           [&seen, name](const result<wire_message>& reply) {
                             const auto& got =
                                 std::get<state_reply>(reply.value());
                             CHECK(got.sender.value() == name);
                             seen.push_back(name);
                           });
  }
  REQUIRE(RunUntil(test.io, [&] { return replies.size() == 3; }));
  std::reverse(replies.begin(), replies.end());
  for (const auto& reply : replies) {
    reply();
  }
  REQUIRE(RunUntil(test.io, [&] { return seen.size() == 3; }));
  CHECK(seen == std::vector<std::string>{"c", "b", "a"});
}

TEST_CASE(
    "a late answer is dropped and counted, not given to another request") {
  link_fixture test;
  peer_reply late;
  test.Serve([&](const wire_message& message, const std::string& peer,
                 const peer_reply& reply) {
    if (!late) {
      late = reply;
      return;
    }
    Echo(message, peer, reply);
  });
  const result<wire_message> first =
      test.SendRequest(state_request{daemon_id("first")});
  REQUIRE_FALSE(first);
  CHECK(first.error().code() == errc::kTimeout);
  CHECK(first.error().at() == step::kFetchState);
  CHECK(first.error().peer() == test.link->peer_address().ToString());
  late(ReplyNamed("first"));
  const result<wire_message> second =
      test.SendRequest(state_request{daemon_id("second")});
  REQUIRE(second);
  CHECK(std::get<state_reply>(second.value()).sender == daemon_id("second"));
  CHECK(test.metrics.Count(metric::kLateAnswersDropped, {"peer"}) == 1);
}

TEST_CASE("a request that could not be sent is reported as unavailable") {
  link_fixture test;
  test.Serve(Echo);
  const address peer_address = test.server->listen_address();
  test.server.reset();
  RunUntil(test.io, [&] { return false; });
  const result<wire_message> reply = test.SendRequest(state_request{});
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code() == errc::kUnavailable);
}

// A server that keeps the connections it accepts open and writes the greeting
// to each.
struct raw_server {
  explicit raw_server(asio::io_context& io)
      : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }

  void Accept() {
    acceptor.async_accept(
        [this](const boost::system::error_code& failure, tcp::socket socket) {
          if (!failure) {
            sockets.push_back(std::move(socket));
            if (!greeting.empty()) {
              asio::write(sockets.back(), asio::buffer(greeting));
            }
            Accept();
          }
        });
  }

  address peer_address() const {
    return address::Parse("127.0.0.1:" +
                          std::to_string(acceptor.local_endpoint().port()))
        .value();
  }

  tcp::acceptor acceptor;
  std::vector<tcp::socket> sockets;
  std::string greeting;
};

TEST_CASE("an unresponsive connection is closed and a new one opened") {
  link_fixture test;
  raw_server silent(test.io);
  test.Link(silent.peer_address());
  std::optional<result<wire_message>> reply;
  // The long timeout shows that the link detects the failure before it.
  test.link->SendRequest(state_request{}, seconds(30),
                         [&](const auto& outcome) { reply = outcome; });
  REQUIRE(RunUntil(test.io, [&] { return reply.has_value(); }));
  REQUIRE_FALSE(reply.value());
  CHECK(reply.value().error().code() == errc::kConnectionLost);
  CHECK(silent.sockets.size() == 1);
  test.link->Send(pressure_update{});
  CHECK(RunUntil(test.io, [&] { return silent.sockets.size() == 2; }));
}

TEST_CASE("a slow request on a live connection keeps the connection") {
  link_fixture test;
  peer_reply slow;
  test.Serve([&](const wire_message& /*message*/, const std::string& /*peer*/,
                 const peer_reply& reply) { slow = reply; });
  std::optional<result<wire_message>> reply;
  test.link->SendRequest(state_request{}, seconds(30),
                         [&](const auto& outcome) { reply = outcome; });
  test.io.run_for(milliseconds(1'200));
  REQUIRE_FALSE(reply);
  slow(ReplyNamed("slow"));
  REQUIRE(RunUntil(test.io, [&] { return reply.has_value(); }));
  CHECK(reply.value());
}

TEST_CASE("a message that can't be decoded does not end the link") {
  link_fixture test;
  raw_server newer(test.io);
  std::string unknown =
      EncodeFrame({exchange_kind::kOneWay, 0, state_request{}}).value();
  unknown[6] = 100;
  newer.greeting =
      unknown +
      EncodeFrame({exchange_kind::kResponse, 1, ReplyNamed("d")}).value();
  test.Link(newer.peer_address());
  CHECK(test.SendRequest(state_request{}));
  CHECK(test.metrics.Count(metric::kMessagesDropped, {"peer", "version"}) == 1);
}

TEST_CASE("bytes that are no frame end the connection with an error") {
  link_fixture test;
  raw_server other(test.io);
  other.greeting = "HTTP/1.1 400 Bad Request\r\n\r\n";
  test.Link(other.peer_address());
  const result<wire_message> reply = test.SendRequest(state_request{});
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code() == errc::kConnectionLost);
}

TEST_CASE("open requests end when the server closes, and the link recovers") {
  link_fixture test;
  int received = 0;
  test.Serve([&](const wire_message& message, const std::string& peer,
                 const peer_reply& reply) {
    if (++received > 1) {
      Echo(message, peer, reply);
    }
  });
  std::optional<result<wire_message>> reply;
  test.link->SendRequest(state_request{}, seconds(30),
                         [&](const auto& outcome) { reply = outcome; });
  REQUIRE(RunUntil(test.io, [&] { return received == 1; }));
  const address peer_address = test.server->listen_address();
  test.server.reset();
  REQUIRE(RunUntil(test.io, [&] { return reply.has_value(); }));
  CHECK(reply.value().error().code() == errc::kConnectionLost);
  test.server =
      peer_server::Make({&test.io}, peer_address, Echo, test.metrics).value();
  CHECK(test.SendRequest(state_request{}));
}

}  // namespace
}  // namespace bluebell
