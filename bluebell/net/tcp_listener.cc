#include "bluebell/net/tcp_listener.h"

#include <utility>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "bluebell/core/time.h"
#include "bluebell/net/socket_address.h"
#include "bluebell/net/task.h"
#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

// Delay after a failure to accept. A lack of file descriptors lasts until
// others are closed.
constexpr milliseconds kAcceptRetryDelay{50};

}  // namespace

result<std::shared_ptr<tcp_listener>> tcp_listener::Open(
    asio::io_context& io,
    const address& local_address) {
  const auto local = ToSocketAddress<tcp>(local_address, step::kListen);
  if (!local) {
    return local.error();
  }
  try {
    tcp::acceptor acceptor(io);
    acceptor.open(local.value().protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(local.value());
    acceptor.listen();
    address listening = FromSocketAddress(acceptor.local_endpoint());
    return std::shared_ptr<tcp_listener>(
        new tcp_listener(io, std::move(acceptor), std::move(listening)));
  } catch (const boost::system::system_error& failure) {
    return error(errc::kUnavailable, step::kListen, local_address.ToString(),
                 failure.code().message());
  }
}

tcp_listener::tcp_listener(asio::io_context& io,
                           tcp::acceptor acceptor,
                           address listen_address)
    : io_(io),
      acceptor_(std::move(acceptor)),
      retry_timer_(io),
      listen_address_(std::move(listen_address)) {}

void tcp_listener::Start(handler on_connection, io_chooser choose_io) {
  on_connection_ = std::move(on_connection);
  choose_io_ = std::move(choose_io);
  asio::post(io_, [self = shared_from_this()] { self->Accept(); });
}

void tcp_listener::Close() {
  asio::dispatch(io_, [self = shared_from_this()] {
    boost::system::error_code ignored;
    self->acceptor_.close(ignored);
    self->retry_timer_.cancel();
    // Posted, because one of the handlers may be running.
    asio::post(self->io_, [self] {
      self->on_connection_ = nullptr;
      self->choose_io_ = nullptr;
    });
  });
}

void tcp_listener::Accept() {
  if (!acceptor_.is_open()) {
    return;
  }
  asio::io_context& connection_io = choose_io_ ? choose_io_() : io_;
  acceptor_.async_accept(
      connection_io,
      [self = shared_from_this()](const boost::system::error_code& failure,
                                  tcp::socket socket) {
        if (!self->acceptor_.is_open()) {
          return;
        }
        if (failure) {
          self->RetryLater(failure);
          return;
        }
        try {
          self->on_connection_(std::move(socket));
        } catch (...) {
          ReportUnexpected("new connection", std::current_exception());
        }
        self->Accept();
      });
}

void tcp_listener::RetryLater(const boost::system::error_code& failure) {
  log_event(log_level::kWarn, "can't accept a connection")
      .With(error(errc::kUnavailable, step::kListen, listen_address_.ToString(),
                  failure.message()))
      .Write();
  retry_timer_.expires_after(kAcceptRetryDelay);
  retry_timer_.async_wait(
      [self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled) {
          self->Accept();
        }
      });
}

}  // namespace bluebell
