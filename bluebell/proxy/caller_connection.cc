#include "bluebell/proxy/caller_connection.h"

#include <cerrno>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/http/socket_options.h"
#include "bluebell/proxy/request_server.h"
#include "bluebell/telemetry/log_event.h"
#include "platform/proxy_headers.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

constexpr unsigned kBadRequest = 400;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
// The time from the end of a request's header to the end of its body.
constexpr seconds kBodyTimeout{20};
// The time that writing a response to the caller may take.
constexpr seconds kWriteTimeout{20};

}  // namespace

caller_connection::caller_connection(
    tcp::socket socket,
    request_server& server,
    std::shared_ptr<const shared_connection_state> state)
    : stream_(std::move(socket)),
      server_(server),
      shared_state_(std::move(state)) {
  SetSocketOptions(stream_.socket());
}

void caller_connection::Start() {
  asio::co_spawn(
      stream_.get_executor(),
      [self = shared_from_this()] { return self->Run(); }, asio::detached);
}

void caller_connection::CloseIfIdle() {
  if (!serving_ && buffer_.size() == 0) {
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
  }
}

asio::awaitable<void> caller_connection::Run() {
  bool usable = true;
  while (usable) {
    usable = co_await WaitForRequest();
    if (usable) {
      serving_ = true;
      usable = co_await ServeNextRequest();
      serving_ = false;
    }
  }
  boost::system::error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream_.close();
}

asio::awaitable<bool> caller_connection::WaitForRequest() {
  if (buffer_.size() > 0) {
    co_return true;
  }
  stream_.expires_after(shared_state_->bounds.idle_timeout);
  constexpr std::size_t kFirstReadBytes = 4'096;
  const auto [failure, size] = co_await stream_.async_read_some(
      buffer_.prepare(kFirstReadBytes), kAwait);
  if (failure) {
    co_return false;
  }
  buffer_.commit(size);
  co_return true;
}

asio::awaitable<bool> caller_connection::ServeNextRequest() {
  const instant arrived = BootNow();
  bhttp::request_parser<bhttp::string_body> parser;
  parser.header_limit(shared_state_->bounds.max_header_bytes);
  parser.body_limit(shared_state_->bounds.max_body_bytes);
  stream_.expires_after(shared_state_->bounds.header_timeout);
  const auto [header_error, header_size] =
      co_await bhttp::async_read_header(stream_, buffer_, parser, kAwait);
  boost::system::error_code failure = header_error;
  if (!failure && !parser.is_done()) {
    if (beast::iequals(parser.get()[bhttp::field::expect], "100-continue")) {
      static constexpr std::string_view kContinue =
          "HTTP/1.1 100 Continue\r\n\r\n";
      co_await asio::async_write(
          stream_, asio::buffer(kContinue.data(), kContinue.size()), kAwait);
    }
    stream_.expires_after(kBodyTimeout);
    const auto [body_error, body_size] =
        co_await bhttp::async_read(stream_, buffer_, parser, kAwait);
    failure = body_error;
  }
  if (failure == bhttp::error::body_limit) {
    co_await RefuseMalformed(kContentTooLarge);
    co_return false;
  }
  if (failure == bhttp::error::header_limit) {
    co_await RefuseMalformed(kHeaderTooLarge);
    co_return false;
  }
  if (failure) {
    const bool malformed =
        failure.category() ==
            bhttp::make_error_code(bhttp::error::bad_method).category() &&
        failure != bhttp::error::end_of_stream &&
        failure != bhttp::error::partial_message;
    if (malformed) {
      co_await RefuseMalformed(kBadRequest);
    }
    co_return false;
  }
  if (buffer_.size() == 0 && CallerHasClosed()) {
    // On a busy host the request may be read long after the caller closed the
    // connection. It isn't sent to an endpoint then.
    co_return false;
  }
  const http_request request = parser.release();
  stream_.expires_never();
  std::variant<http_response, std::monostate> served =
      co_await asio::experimental::awaitable_operators::operator||(
          server_.Serve(request, arrived), WaitForClose());
  if (served.index() != 0) {
    co_return false;
  }
  co_return co_await Write(std::get<http_response>(std::move(served)),
                           request.keep_alive());
}

bool caller_connection::CallerHasClosed() {
  return PeekInput(stream_.socket()) == socket_input::kEnd;
}

asio::awaitable<void> caller_connection::WaitForClose() {
  co_await asio::this_coro::throw_if_cancelled(false);
  tcp::socket& socket = stream_.socket();
  if (buffer_.size() == 0) {
    const auto [failure] =
        co_await socket.async_wait(tcp::socket::wait_read, kAwait);
    if (failure) {
      co_return;
    }
    if (CallerHasClosed()) {
      co_return;
    }
  }
  // The caller has already sent its next request. Its unread bytes hide whether
  // the caller closes the connection.
  asio::steady_timer unlimited_timer(co_await asio::this_coro::executor,
                                     asio::steady_timer::time_point::max());
  co_await unlimited_timer.async_wait(kAwait);
}

asio::awaitable<void> caller_connection::RefuseMalformed(unsigned status) {
  log_event(log_level::kWarn, "malformed request refused")
      .With("status", status)
      .Write();
  co_await Write(platform::MakeRouterResponse(status, "malformed request", {},
                                              std::nullopt),
                 false);
}

asio::awaitable<bool> caller_connection::Write(http_response response,
                                               bool keep_open) {
  const bool stays_open = keep_open && !shared_state_->close_after_response;
  response.keep_alive(stays_open);
  response.prepare_payload();
  stream_.expires_after(kWriteTimeout);
  const auto [failure, size] =
      co_await bhttp::async_write(stream_, response, kAwait);
  co_return !failure && stays_open;
}

}  // namespace bluebell
