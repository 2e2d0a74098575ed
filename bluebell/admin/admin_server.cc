#include "bluebell/admin/admin_server.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/write.hpp>

#include "bluebell/admin/internal/admin_request.h"
#include "bluebell/core/overloaded.h"
#include "bluebell/http/http_message.h"
#include "bluebell/net/tcp_listener.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

constexpr std::uint64_t kMaxBodyBytes = 1U << 20U;
constexpr std::size_t kMaxSessions = 256;
constexpr seconds kReadTimeout{60};
// How long the server waits for an answer. A configuration change waits for
// calls to the store, which take much less time.
constexpr seconds kAnswerTimeout{15};
constexpr unsigned kGatewayTimeout = 504;
constexpr unsigned kPayloadTooLarge = 413;
constexpr unsigned kBadRequest = 400;

// True if the received bytes are not valid HTTP. False if the request is only
// incomplete because the connection ended.
bool IsMalformed(const boost::system::error_code& failure) {
  constexpr bhttp::error kAnyHttpError = bhttp::error::body_limit;
  return failure.category() == make_error_code(kAnyHttpError).category() &&
         failure != bhttp::error::end_of_stream &&
         failure != bhttp::error::partial_message;
}

struct page {
  operator_reply reply;
  std::string content_type = "application/json";
};

// A connection of an operator. Serves one request after the other.
class session : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket,
          std::shared_ptr<const admin_handlers> handlers,
          metrics_registry& metrics,
          std::shared_ptr<std::size_t> session_count)
      : stream_(std::move(socket)),
        handlers_(std::move(handlers)),
        metrics_(metrics),
        session_count_(std::move(session_count)),
        timer_(stream_.get_executor()) {
    ++*session_count_;
  }
  session(const session&) = delete;
  session& operator=(const session&) = delete;
  ~session() { --*session_count_; }

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBodyBytes);
    stream_.expires_after(kReadTimeout);
    bhttp::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](const boost::system::error_code& failure,
                                    std::size_t /*count*/) {
          self->FinishRead(failure);
        });
  }

 private:
  void FinishRead(const boost::system::error_code& failure) {
    if (!failure) {
      request_ = parser_->release();
      keep_alive_ = request_.keep_alive();
      Serve(ReadAdminRequest(request_));
      return;
    }
    keep_alive_ = false;
    if (failure == bhttp::error::body_limit) {
      Write({AdminError(kPayloadTooLarge, "body over 1 MB")});
    } else if (IsMalformed(failure)) {
      Write({AdminError(kBadRequest, failure.message())});
    }
  }

  void Serve(const admin_request& request) {
    std::visit(
        overloaded{
            [&](const operator_command& command) {
              handlers_->command(command, ReplyHandler());
            },
            [&](const show_metrics&) {
              Write({{200, metrics_.Expose()}, "text/plain; version=0.0.4"});
            },
            [&](const explain_request& explain) {
              handlers_->explain_request(explain.id, ReplyHandler());
            },
            [&](const admin_refusal& refusal) { Write({refusal.reply}); },
        },
        request);
  }

  // Returns the function that sends the answer. It may be called on any thread.
  // If it is not called within kAnswerTimeout, for example because the control
  // thread has stopped, the answer is status 504.
  admin_handlers::reply_handler ReplyHandler() {
    stream_.expires_never();
    const std::uint64_t number = ++last_asked_;
    timer_.expires_after(kAnswerTimeout);
    timer_.async_wait([self = shared_from_this(),
                       number](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        self->Answer(number, AdminError(kGatewayTimeout, "no answer in time"));
      }
    });
    return [self = shared_from_this(), number](operator_reply reply) {
      asio::post(self->stream_.get_executor(),
                 [self, number, reply = std::move(reply)] {
                   self->Answer(number, reply);
                 });
    };
  }

  void Answer(std::uint64_t number, const operator_reply& reply) {
    if (number != last_asked_ || last_answered_ == number) {
      return;
    }
    last_answered_ = number;
    timer_.cancel();
    Write({reply});
  }

  void Write(page answer) {
    response_ = http_response(bhttp::int_to_status(answer.reply.status),
                              request_.version());
    response_.set(bhttp::field::content_type, answer.content_type);
    response_.body() = std::move(answer.reply.json);
    response_.keep_alive(keep_alive_);
    response_.prepare_payload();
    stream_.expires_after(kReadTimeout);
    bhttp::async_write(
        stream_, response_,
        [self = shared_from_this()](const boost::system::error_code& failure,
                                    std::size_t /*count*/) {
          if (!failure && self->keep_alive_) {
            self->Read();
          } else {
            boost::system::error_code ignored;
            self->stream_.socket().shutdown(tcp::socket::shutdown_send,
                                            ignored);
          }
        });
  }

  beast::tcp_stream stream_;
  std::shared_ptr<const admin_handlers> handlers_;
  metrics_registry& metrics_;
  std::shared_ptr<std::size_t> session_count_;
  asio::steady_timer timer_;
  beast::flat_buffer buffer_;
  std::optional<bhttp::request_parser<bhttp::string_body>> parser_;
  http_request request_;
  http_response response_;
  std::uint64_t last_asked_ = 0;
  std::uint64_t last_answered_ = 0;
  bool keep_alive_ = false;
};

}  // namespace

result<std::unique_ptr<admin_server>> admin_server::Make(
    asio::io_context& io,
    const address& listen,
    const admin_handlers& handlers,
    metrics_registry& metrics) {
  auto listener = tcp_listener::Open(io, listen);
  if (!listener) {
    return listener.error();
  }
  const auto shared_handlers = std::make_shared<const admin_handlers>(handlers);
  const auto session_count = std::make_shared<std::size_t>(0);
  listener.value()->Start(
      [shared_handlers, session_count, &metrics](tcp::socket socket) {
        if (*session_count < kMaxSessions) {
          std::make_shared<session>(std::move(socket), shared_handlers, metrics,
                                    session_count)
              ->Read();
        }
      });
  return std::unique_ptr<admin_server>(
      new admin_server(std::move(listener).value()));
}

admin_server::admin_server(std::shared_ptr<tcp_listener> listener)
    : listener_(std::move(listener)) {}

admin_server::~admin_server() {
  listener_->Close();
}

const address& admin_server::listen_address() const {
  return listener_->listen_address();
}

}  // namespace bluebell
