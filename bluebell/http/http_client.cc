#include "bluebell/http/http_client.h"

#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "bluebell/http/socket_options.h"
#include "bluebell/net/socket_address.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

instant Now() {
  return std::chrono::steady_clock::now();
}

struct connection {
  explicit connection(asio::io_context& io) : stream(io) {}
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  // Asio's own destructor would take back that closing resets the connection.
  ~connection() { stream.close(); }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  instant last_used;
};

}  // namespace

class http_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io,
       address where,
       tcp::endpoint target,
       const http_client_options& options)
      : io_(io),
        where_(std::move(where)),
        target_(std::move(target)),
        options_(options) {}

  void Call(http_request request,
            milliseconds timeout,
            step at,
            response_handler done) {
    if (calls_ >= options_.max_calls) {
      asio::post(io_, [done = std::move(done),
                       failure = Failure(errc::kUnavailable, at,
                                         "too many calls")] { done(failure); });
      return;
    }
    ++calls_;
    request.set(bhttp::field::host, where_.ToString());
    request.keep_alive(true);
    request.prepare_payload();
    asio::co_spawn(io_,
                   Run(shared_from_this(), std::move(request), timeout, at,
                       std::move(done)),
                   asio::detached);
  }

  void Close() {
    closed_ = true;
    idle_.clear();
  }

 private:
  result<http_response> Failure(errc code,
                                step at,
                                const std::string& detail) const {
    return error(code, at, where_.ToString(), detail);
  }

  result<http_response> Failure(errc otherwise,
                                step at,
                                const boost::system::error_code& cause,
                                milliseconds timeout) const {
    if (cause == beast::error::timeout) {
      return Failure(
          otherwise == errc::kUnavailable ? otherwise : errc::kTimeout, at,
          "no answer within " + std::to_string(timeout.count()) + " ms");
    }
    return Failure(otherwise, at, cause.message());
  }

  // A connection that may still be of use, or none.
  std::shared_ptr<connection> TakeIdle() {
    while (!idle_.empty()) {
      std::shared_ptr<connection> last = std::move(idle_.back());
      idle_.pop_back();
      if (Now() - last->last_used < options_.idle && IsQuiet(*last)) {
        return last;
      }
    }
    return nullptr;
  }

  // False if the server has closed the connection or sent what nobody asked
  // for.
  static bool IsQuiet(connection& candidate) {
    return candidate.buffer.size() == 0 &&
           PeekInput(candidate.stream.socket()) == socket_input::kNone;
  }

  void Keep(std::shared_ptr<connection> used) {
    if (!closed_) {
      used->stream.expires_never();
      used->last_used = Now();
      idle_.push_back(std::move(used));
    }
  }

  static asio::awaitable<void> Run(std::shared_ptr<impl> self,
                                   http_request request,
                                   milliseconds timeout,
                                   step at,
                                   response_handler done) {
    const result<http_response> outcome =
        co_await Exchange(self, std::move(request), timeout, at);
    --self->calls_;
    done(outcome);
  }

  static asio::awaitable<result<http_response>> Exchange(
      std::shared_ptr<impl> self,
      http_request request,
      milliseconds timeout,
      step at) {
    const instant deadline = Now() + timeout;
    std::shared_ptr<connection> link = self->TakeIdle();
    if (!link) {
      link = std::make_shared<connection>(self->io_);
      link->stream.expires_at(deadline);
      const auto [failure] =
          co_await link->stream.async_connect(self->target_, kAwait);
      if (failure) {
        co_return self->Failure(errc::kUnavailable, at, failure, timeout);
      }
      PrepareSocket(link->stream.socket());
      // A call that times out must not arrive later; the stream closes its
      // socket at once then.
      ResetOnClose(link->stream.socket());
    }
    // On a busy host the connection may be ready only after the time is up; a
    // request must not be written then.
    if (Now() >= deadline) {
      co_return self->Failure(errc::kUnavailable, at,
                              "no time left before sending");
    }
    link->stream.expires_at(deadline);
    const auto [unsent, sent] =
        co_await bhttp::async_write(link->stream, request, kAwait);
    if (unsent) {
      co_return self->Failure(errc::kConnectionLost, at, unsent, timeout);
    }
    bhttp::response_parser<bhttp::string_body> parser;
    parser.body_limit(self->options_.max_body_bytes);
    parser.skip(request.method() == bhttp::verb::head);
    const auto [unread, read] =
        co_await bhttp::async_read(link->stream, link->buffer, parser, kAwait);
    if (unread) {
      co_return self->Failure(errc::kConnectionLost, at, unread, timeout);
    }
    http_response response = parser.release();
    if (response.keep_alive()) {
      self->Keep(std::move(link));
    }
    co_return response;
  }

  asio::io_context& io_;
  address where_;
  tcp::endpoint target_;
  http_client_options options_;
  std::vector<std::shared_ptr<connection>> idle_;
  std::size_t calls_ = 0;
  bool closed_ = false;
};

result<std::unique_ptr<http_client>> http_client::Make(
    asio::io_context& io,
    const address& where,
    const http_client_options& options) {
  const auto target = ToSocketAddress<tcp>(where, step::kConnect);
  if (!target) {
    return target.error();
  }
  return std::unique_ptr<http_client>(new http_client(
      std::make_shared<impl>(io, where, target.value(), options)));
}

http_client::http_client(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

http_client::~http_client() {
  impl_->Close();
}

void http_client::Call(http_request request,
                       milliseconds timeout,
                       step at,
                       response_handler done) {
  impl_->Call(std::move(request), timeout, at, std::move(done));
}

}  // namespace bluebell
