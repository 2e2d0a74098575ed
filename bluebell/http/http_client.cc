#include "bluebell/http/http_client.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "bluebell/http/delivery_guard.h"
#include "bluebell/http/embedded_status_line.h"
#include "bluebell/http/message_head.h"
#include "bluebell/http/server_connection.h"
#include "bluebell/http/socket_options.h"
#include "bluebell/net/socket_address.h"
#include "bluebell/net/task.h"

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

struct connection : server_connection {
  using server_connection::server_connection;

  instant last_used;
};

}  // namespace

class http_client::impl : public std::enable_shared_from_this<impl> {
 public:
  impl(asio::io_context& io,
       address remote_address,
       tcp::endpoint target,
       const http_client_options& options)
      : io_(io),
        where_(std::move(remote_address)),
        target_(std::move(target)),
        options_(options) {}

  void Call(http_request request,
            milliseconds timeout,
            step call_step,
            response_handler done,
            send_check may_send) {
    if (calls_ >= options_.max_calls) {
      asio::post(io_, [done = std::move(done),
                       failure = Failure(errc::kUnavailable, call_step,
                                         "too many calls in flight")] {
        done(failure);
      });
      return;
    }
    ++calls_;
    request.set(bhttp::field::host, where_.ToString());
    request.keep_alive(options_.reuse_connections);
    request.prepare_payload();
    send_check is_current = [self = shared_from_this(),
                             cancellations = cancellations_,
                             may_send = std::move(may_send)] {
      return cancellations == self->cancellations_ && (!may_send || may_send());
    };
    SpawnTask(io_.get_executor(), "HTTP call",
              Run(shared_from_this(), std::move(request), timeout, call_step,
                  std::move(done), std::move(is_current)));
  }

  void CancelCalls() {
    ++cancellations_;
    for (const std::weak_ptr<connection>& each : in_flight_) {
      if (const std::shared_ptr<connection> link = each.lock()) {
        link->stream.close();
      }
    }
    in_flight_.clear();
  }

  void Close() {
    closed_ = true;
    idle_.clear();
  }

 private:
  result<http_response> Failure(errc code,
                                step call_step,
                                const std::string& detail) const {
    return error(code, call_step, where_.ToString(), detail);
  }

  // `code` is used unless the cause is a timeout after the request may have
  // been sent.
  result<http_response> Failure(errc code,
                                step call_step,
                                const boost::system::error_code& cause,
                                milliseconds timeout) const {
    if (cause == beast::error::timeout) {
      return Failure(
          code == errc::kUnavailable ? code : errc::kTimeout, call_step,
          "no answer within " + std::to_string(timeout.count()) + " ms");
    }
    return Failure(code, call_step, cause.message());
  }

  // An idle connection that can be reused, or null.
  std::shared_ptr<connection> TakeIdle() {
    while (!idle_.empty()) {
      std::shared_ptr<connection> last = std::move(idle_.back());
      idle_.pop_back();
      if (Now() - last->last_used < options_.idle_timeout &&
          last->IsReusable()) {
        return last;
      }
    }
    return nullptr;
  }

  void KeepForReuse(std::shared_ptr<connection> link) {
    if (!closed_) {
      link->stream.expires_never();
      link->last_used = Now();
      idle_.push_back(std::move(link));
    }
  }

  void AddInFlight(const std::shared_ptr<connection>& link) {
    std::erase_if(in_flight_, [](const std::weak_ptr<connection>& each) {
      return each.expired();
    });
    in_flight_.push_back(link);
  }

  void RemoveInFlight(const std::shared_ptr<connection>& link) {
    std::erase_if(in_flight_, [&](const std::weak_ptr<connection>& each) {
      return each.lock() == link;
    });
  }

  static asio::awaitable<void> Run(std::shared_ptr<impl> self,
                                   http_request request,
                                   milliseconds timeout,
                                   step call_step,
                                   response_handler done,
                                   send_check may_send) {
    const result<http_response> outcome = co_await Exchange(
        self, std::move(request), timeout, call_step, std::move(may_send));
    --self->calls_;
    done(outcome);
  }

  static asio::awaitable<result<http_response>> Exchange(
      std::shared_ptr<impl> self,
      http_request request,
      milliseconds timeout,
      step call_step,
      send_check may_send) {
    const instant deadline = Now() + timeout;
    std::shared_ptr<connection> link = self->TakeIdle();
    if (!link) {
      link = std::make_shared<connection>(self->io_);
      link->stream.expires_at(deadline);
      const auto [failure] =
          co_await link->stream.async_connect(self->target_, kAwait);
      if (failure) {
        co_return self->Failure(errc::kUnavailable, call_step, failure,
                                timeout);
      }
      SetSocketOptions(link->stream.socket());
      // A request whose call has timed out must not arrive later. The stream
      // closes its socket at the timeout, which resets the connection.
      ResetOnClose(link->stream.socket());
    }
    // On a busy host the connection may be ready only after the deadline. Then
    // the request must not be written.
    if (Now() >= deadline) {
      co_return self->Failure(errc::kUnavailable, call_step,
                              "no time left before sending");
    }
    if (!may_send()) {
      // Without this, the handler would run within Call() if the connection was
      // idle.
      co_await asio::post(self->io_, kAwait);
      co_return self->Failure(errc::kUnavailable, call_step,
                              "no longer to be sent");
    }
    self->AddInFlight(link);
    link->stream.expires_at(deadline);
    link->delivery->BeginWrite(request.body().size(), deadline - Now());
    const auto [write_error, bytes_written] =
        co_await bhttp::async_write(link->stream, request, kAwait);
    link->delivery->EndWrite();
    if (write_error) {
      co_return self->Failure(errc::kConnectionLost, call_step, write_error,
                              timeout);
    }
    message_parser<false> parser;
    parser.body_limit(self->options_.max_body_bytes);
    parser.skip(request.method() == bhttp::verb::head);
    const head_result head =
        co_await ReadHead<false>(link->stream, link->buffer, parser);
    boost::system::error_code read_error = head.failure;
    if (!read_error && !parser.is_done()) {
      // The parser adds trailers to the header.
      const bhttp::fields header = parser.get();
      const auto [body_error, body_size] = co_await bhttp::async_read(
          link->stream, link->buffer, parser, kAwait);
      static_cast<bhttp::fields&>(parser.get()) = header;
      read_error = body_error;
    }
    if (read_error) {
      co_return self->Failure(errc::kConnectionLost, call_step, read_error,
                              timeout);
    }
    http_response response = parser.release();
    if (HasEmbeddedStatusLine(response)) {
      co_return self->Failure(errc::kConnectionLost, call_step,
                              "a status line within the head of a response");
    }
    self->RemoveInFlight(link);
    if (self->options_.reuse_connections && response.keep_alive()) {
      self->KeepForReuse(std::move(link));
    }
    co_return response;
  }

  asio::io_context& io_;
  address where_;
  tcp::endpoint target_;
  http_client_options options_;
  std::vector<std::shared_ptr<connection>> idle_;
  // The connections on which a request was written and awaits its response.
  std::vector<std::weak_ptr<connection>> in_flight_;
  // The number of calls of CancelCalls().
  std::uint64_t cancellations_ = 0;
  std::size_t calls_ = 0;
  bool closed_ = false;
};

result<std::unique_ptr<http_client>> http_client::Make(
    asio::io_context& io,
    const address& remote_address,
    const http_client_options& options) {
  const auto target = ToSocketAddress<tcp>(remote_address, step::kConnect);
  if (!target) {
    return target.error();
  }
  return std::unique_ptr<http_client>(new http_client(
      std::make_shared<impl>(io, remote_address, target.value(), options)));
}

http_client::http_client(std::shared_ptr<impl> state)
    : impl_(std::move(state)) {}

http_client::~http_client() {
  impl_->Close();
}

void http_client::Call(http_request request,
                       milliseconds timeout,
                       step call_step,
                       response_handler done,
                       send_check may_send) {
  impl_->Call(std::move(request), timeout, call_step, std::move(done),
              std::move(may_send));
}

void http_client::CancelCalls() {
  impl_->CancelCalls();
}

}  // namespace bluebell
