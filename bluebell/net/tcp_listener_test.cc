#include "bluebell/net/tcp_listener.h"

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/time.h"
#include "bluebell/net/socket_address.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const address kAnyPort = address::Parse("127.0.0.1:0").value();

tcp::socket ConnectTo(asio::io_context& io, const address& server_address) {
  tcp::socket socket(io);
  socket.connect(ToSocketAddress<tcp>(server_address, step::kConnect).value());
  return socket;
}

TEST_CASE("each connection runs on the io_context chosen for it") {
  asio::io_context io;
  asio::io_context other;
  auto listener = tcp_listener::Open(io, kAnyPort).value();
  int chosen = 0;
  std::vector<bool> on_other;
  listener->Start(
      [&](tcp::socket socket) {
        on_other.push_back(&socket.get_executor().context() == &other);
      },
      [&]() -> asio::io_context& { return chosen++ % 2 == 0 ? io : other; });
  const tcp::socket first = ConnectTo(io, listener->listen_address());
  const tcp::socket second = ConnectTo(io, listener->listen_address());
  io.run_for(milliseconds(200));
  CHECK(on_other == std::vector<bool>{false, true});
  listener->Close();
  io.restart();
  io.run_for(milliseconds(50));
}

// Guards against a handler that runs, or keeps its owner alive, after the owner
// has closed the listener.
TEST_CASE("a closed listener calls no handler and releases the handlers") {
  asio::io_context io;
  auto listener = tcp_listener::Open(io, kAnyPort).value();
  const auto owner = std::make_shared<int>(0);
  listener->Start([owner](const tcp::socket& /*socket*/) { ++*owner; });
  io.run_for(milliseconds(10));
  const tcp::socket waiting = ConnectTo(io, listener->listen_address());
  listener->Close();
  io.restart();
  io.run_for(milliseconds(50));
  CHECK(*owner == 0);
  CHECK(owner.use_count() == 1);
}

TEST_CASE("an address that is in use is reported") {
  asio::io_context io;
  const auto first = tcp_listener::Open(io, kAnyPort).value();
  const auto second = tcp_listener::Open(io, first->listen_address());
  REQUIRE(!second);
  CHECK(second.error().at() == step::kListen);
  CHECK(second.error().peer() == first->listen_address().ToString());
}

}  // namespace
}  // namespace bluebell
