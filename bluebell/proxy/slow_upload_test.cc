// Endpoints that read their requests slowly.

#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/net/socket_address.h"
#include "bluebell/proxy/endpoint_connection_pool.h"
#include "platform/wire_samples.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr const char* kAttempt = "a1";
// More than the kernel keeps for a peer that doesn't read.
constexpr std::size_t kBodyBytes = 12U << 20U;

// Accepts one connection, reads nothing for `pause`, then the whole request,
// and responds.
asio::awaitable<void> ReadLate(tcp::acceptor& acceptor, milliseconds pause) {
  auto [failure, socket] = co_await acceptor.async_accept(kAwait);
  asio::steady_timer timer(acceptor.get_executor(), pause);
  co_await timer.async_wait(kAwait);
  std::string head(kBodyBytes, ' ');
  co_await asio::async_read(socket, asio::buffer(head), kAwait);
  co_await asio::async_write(
      socket, asio::buffer(platform::SampleResponse(kAttempt, "stored")),
      kAwait);
}

exchange_result Upload(milliseconds pause, milliseconds limit) {
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::v4());
  acceptor.set_option(asio::socket_base::receive_buffer_size(4'096));
  acceptor.bind(tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  acceptor.listen();
  asio::co_spawn(io, ReadLate(acceptor, pause), asio::detached);
  fleet_endpoint entry;
  entry.instance = {endpoint_id("i-1"), incarnation(1)};
  entry.where = FromSocketAddress(acceptor.local_endpoint());
  http_request request(boost::beast::http::verb::post, "/upload", 11);
  request.body() = std::string(kBodyBytes, 'x');
  request.prepare_payload();
  exchange_options options;
  options.attempt = kAttempt;
  options.deadline = BootNow() + limit;
  endpoint_connection_pool pool(io, nullptr);
  std::optional<exchange_result> end;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        end = co_await pool.Send(entry, request, options);
      },
      asio::detached);
  while (!end && io.run_one() > 0) {
  }
  return std::move(*end);
}

// Failure: an upload to an endpoint that didn't read for 2.5 s was cut off, and
// it wasn't known whether the request had run.
TEST_CASE("an upload outlasts an endpoint's pause") {
  const exchange_result end = Upload(milliseconds(4'000), seconds(10));
  const auto* answered = std::get_if<exchange_answered>(&end);
  REQUIRE(answered != nullptr);
  CHECK(answered->response.body() == "stored");
}

TEST_CASE("an upload to an endpoint that never reads ends in time") {
  const instant begin = BootNow();
  const exchange_result end = Upload(seconds(30), seconds(4));
  CHECK(std::holds_alternative<exchange_lost>(end));
  CHECK(BootNow() - begin < milliseconds(4'500));
}

}  // namespace
}  // namespace bluebell
