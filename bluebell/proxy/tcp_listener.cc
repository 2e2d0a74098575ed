#include "bluebell/proxy/tcp_listener.h"

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>

#include "bluebell/core/time.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

using boost::asio::ip::tcp;

// After a failure, such as a lack of descriptors, before the next try.
constexpr milliseconds kPauseAfterFailure{50};

}  // namespace

result<std::unique_ptr<tcp_listener>> tcp_listener::Open(
    boost::asio::io_context& io,
    const address& where) {
  boost::system::error_code failure;
  const auto number = boost::asio::ip::make_address(where.ip(), failure);
  tcp::acceptor acceptor(io);
  if (!failure) {
    const tcp::endpoint local(number, where.port());
    acceptor.open(local.protocol(), failure);
    if (!failure) {
      acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    }
    if (!failure) {
      acceptor.bind(local, failure);
    }
    if (!failure) {
      acceptor.listen(boost::asio::socket_base::max_listen_connections,
                      failure);
    }
  }
  if (failure) {
    return error(errc::kUnavailable, step::kListen, where.ToString(),
                 failure.message());
  }
  return std::unique_ptr<tcp_listener>(new tcp_listener(std::move(acceptor)));
}

tcp_listener::tcp_listener(tcp::acceptor acceptor)
    : acceptor_(std::move(acceptor)), pause_(acceptor_.get_executor()) {}

void tcp_listener::Start(handler on_connection) {
  on_connection_ = std::move(on_connection);
  Accept();
}

void tcp_listener::Close() {
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

void tcp_listener::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code failure, tcp::socket socket) {
        if (failure == boost::asio::error::operation_aborted) {
          return;
        }
        if (!failure) {
          on_connection_(std::move(socket));
          Accept();
          return;
        }
        log_event(log_level::kWarn, "accepting failed")
            .With("detail", failure.message())
            .Write();
        pause_.expires_after(kPauseAfterFailure);
        pause_.async_wait([this](boost::system::error_code cancelled) {
          if (!cancelled) {
            Accept();
          }
        });
      });
}

}  // namespace bluebell
