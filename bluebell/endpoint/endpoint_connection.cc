#include "bluebell/endpoint/endpoint_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

#include "bluebell/http/response_status.h"
#include "bluebell/http/socket_options.h"
#include "bluebell/runtime/clock.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Limits the memory that the answer of an endpoint can take. Larger than any
// answer of the known services.
constexpr std::uint64_t kMaxAnswerBodyBytes = 8U << 20U;
constexpr std::uint32_t kMaxAnswerHeaderBytes = 64U << 10U;

// True if the end of `response` is given by a length, by chunked encoding or by
// its kind. If only the close of the connection marks the end, a truncated
// response looks like a complete one.
bool HasMarkedEnd(const http_response& response, bool head) {
  const unsigned status = response.result_int();
  return head || status == 204 || status == 304 || response.chunked() ||
         response.has_content_length();
}

}  // namespace

endpoint_connection::endpoint_connection(asio::io_context& io,
                                         const address& endpoint_address)
    : socket_(io),
      endpoint_address_(asio::ip::make_address(endpoint_address.ip()),
                        endpoint_address.port()),
      idle_since_(Now()) {}

void endpoint_connection::WhenConnected(connect_handler done) {
  if (open_) {
    done(error_code());
    return;
  }
  socket_.async_connect(
      endpoint_address_,
      [self = shared_from_this(), done = std::move(done)](error_code failure) {
        if (!failure && self->socket_.is_open()) {
          self->open_ = true;
          // Requests are small, and each is written in one piece.
          self->socket_.set_option(tcp::no_delay(true), failure);
        } else if (!failure) {
          failure = asio::error::operation_aborted;
        }
        done(failure);
      });
}

void endpoint_connection::Exchange(http_request message, end_handler done) {
  is_exchanging_ = true;
  message_ = std::move(message);
  done_ = std::move(done);
  bhttp::async_write(
      socket_, message_,
      [self = shared_from_this()](error_code failure, std::size_t bytes) {
        self->OnWritten(failure, bytes);
      });
}

void endpoint_connection::OnWritten(error_code failure, std::size_t bytes) {
  if (failure) {
    Fail(bytes > 0, unknown_reason::kConnectionLost,
         "write: " + failure.message());
    return;
  }
  Read();
}

void endpoint_connection::Read() {
  parser_.emplace();
  parser_->body_limit(kMaxAnswerBodyBytes);
  parser_->header_limit(kMaxAnswerHeaderBytes);
  parser_->skip(message_.method() == bhttp::verb::head);
  bhttp::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](error_code failure, std::size_t /*bytes*/) {
        self->OnRead(failure);
      });
}

void endpoint_connection::OnRead(error_code failure) {
  if (failure) {
    const bool is_truncated =
        failure == bhttp::error::partial_message ||
        (parser_->got_some() && failure != asio::error::operation_aborted);
    Fail(true,
         is_truncated ? unknown_reason::kTruncatedAnswer
                      : unknown_reason::kConnectionLost,
         "read: " + failure.message());
    return;
  }
  const bool head = message_.method() == bhttp::verb::head;
  const unsigned status = parser_->get().result_int();
  if (!IsPossibleStatus(status)) {
    Fail(true, unknown_reason::kConnectionLost,
         "the answer has the impossible status " + std::to_string(status));
    return;
  }
  const bool is_interim = status / 100 == 1;
  if (is_interim) {
    Read();
    return;
  }
  if (!HasMarkedEnd(parser_->get(), head)) {
    Fail(true, unknown_reason::kTruncatedAnswer,
         "the answer has neither a length nor chunks");
    return;
  }
  if (!parser_->keep_alive() || buffer_.size() > 0) {
    Close();
  }
  FinishExchange(parser_->release());
}

void endpoint_connection::Fail(bool first_byte_written,
                               unknown_reason why,
                               std::string detail) {
  Close();
  FinishExchange(
      exchange_failure{first_byte_written, {why, std::move(detail)}});
}

void endpoint_connection::FinishExchange(exchange_end end) {
  is_exchanging_ = false;
  idle_since_ = Now();
  const end_handler done = std::exchange(done_, nullptr);
  done(end);
}

void endpoint_connection::Close() {
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
}

bool endpoint_connection::IsReusable() {
  return IsIdle() && PeekInput(socket_) == socket_input::kNone;
}

}  // namespace bluebell
