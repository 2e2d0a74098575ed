#include "bluebell/http/http_client.h"

#include <optional>
#include <string>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

}  // namespace
}  // namespace bluebell
