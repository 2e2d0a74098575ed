#include "testing/http_server.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <sstream>
#include <utility>
#include <variant>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;
constexpr std::uint64_t kMaxBody = 8U << 20U;

class session;

}  // namespace

struct http_server::state {
  state(asio::io_context& context,
        http_server_options given,
        http_handler on_request)
      : acceptor(context),
        accept_timer(context),
        options(std::move(given)),
        handler(std::move(on_request)),
        max_connections([most = options.max_connections] { return most; }) {}

  tcp::acceptor acceptor;
  asio::steady_timer accept_timer;
  http_server_options options;
  http_handler handler;
  std::function<response_fault()> choose_fault = [] {
    return response_fault(send_unchanged());
  };
  std::function<std::size_t()> max_connections;
  // Empty if nobody asks for closed connections.
  std::function<void(const http_request&)> on_closed;
  std::set<std::shared_ptr<session>> sessions;
  std::size_t peak = 0;
  bool stopped = false;
};

namespace {

class session : public std::enable_shared_from_this<session> {
 public:
  session(tcp::socket socket, std::weak_ptr<http_server::state> server)
      : socket_(std::move(socket)), server_(std::move(server)) {}

  void Read() {
    parser_.emplace();
    parser_->body_limit(kMaxBody);
    bhttp::async_read(socket_, buffer_, *parser_,
                      [self = shared_from_this()](error_code error, size_t) {
                        self->OnRead(error);
                      });
  }

  // Without lingering, so that the peer gets a reset and not an orderly end.
  void Reset() {
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  void OnRead(error_code error) {
    const auto server = server_.lock();
    if (error || !server || server->stopped) {
      Close();
      return;
    }
    ++requests_read_;
    const http_request request = parser_->release();
    keep_alive_ = request.keep_alive();
    is_head_ = request.method() == bhttp::verb::head;
    is_answered_ = false;
    if (server->on_closed) {
      WatchForClose(request);
    }
    server->handler(request, [self = shared_from_this()](http_response reply) {
      self->Write(std::move(reply));
    });
  }

  // Reports `request` if the peer ends the connection before its response.
  void WatchForClose(http_request request) {
    socket_.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(), request = std::move(request),
                        read = requests_read_](error_code error) {
                         const auto server = self->server_.lock();
                         if (error || !server || self->is_answered_ ||
                             self->requests_read_ != read) {
                           return;
                         }
                         char next = 0;
                         error_code closed;
                         self->socket_.receive(asio::buffer(&next, 1),
                                               asio::socket_base::message_peek,
                                               closed);
                         if (closed) {
                           server->on_closed(request);
                         }
                       });
  }

  // What follows the last byte of a message.
  enum class next_step : std::uint8_t { kNone, kRead, kClose, kReset };

  struct outgoing_message {
    std::string bytes;
    next_step then = next_step::kNone;
  };

  void Write(http_response reply) {
    is_answered_ = true;
    reply.keep_alive(keep_alive_);
    reply.prepare_payload();
    if (is_head_) {
      reply.body().clear();
    }
    const auto server = server_.lock();
    if (!server) {
      return;
    }
    const next_step then = keep_alive_ ? next_step::kRead : next_step::kClose;
    const std::string bytes = ToBytes(reply);
    std::visit(
        overloaded{
            [&](const send_unchanged&) { Send(bytes, then); },
            [&](const repeat_previous&) { Send(previous_ + bytes, then); },
            [&](const truncate_response& fault) {
              truncated_ = true;
              Send(bytes.substr(0, fault.bytes), StepAfter(fault.end));
            },
            [&](const send_unframed&) {
              reply.content_length(boost::none);
              reply.keep_alive(false);
              Send(ToBytes(reply), next_step::kClose);
            },
            [&](const replace_response& fault) {
              Send(fault.bytes, next_step::kClose);
            },
            [&](const append_bytes& fault) {
              Send(bytes, then);
              SendLater(fault.bytes, fault.delay);
            },
            [&](const append_copy& fault) {
              Send(bytes, then);
              SendLater(bytes, fault.delay);
            },
            [&](const announce_close&) {
              reply.keep_alive(false);
              Send(ToBytes(reply), next_step::kClose);
            },
            [&](const close_when_idle& fault) {
              Send(bytes, then);
              CloseLater(fault.delay);
            }},
        server->choose_fault());
    previous_ = bytes;
  }

  static std::string ToBytes(const http_response& response) {
    std::ostringstream bytes;
    bytes << response;
    return bytes.str();
  }

  static next_step StepAfter(connection_end end) {
    switch (end) {
      case connection_end::kClose:
        return next_step::kClose;
      case connection_end::kReset:
        return next_step::kReset;
      case connection_end::kSilence:
        return next_step::kNone;
    }
    return next_step::kClose;
  }

  void Send(std::string bytes, next_step then) {
    outgoing_.push_back({std::move(bytes), then});
    if (outgoing_.size() == 1) {
      SendFirst();
    }
  }

  void SendLater(std::string bytes, milliseconds delay) {
    const auto timer =
        std::make_shared<asio::steady_timer>(socket_.get_executor(), delay);
    timer->async_wait([timer, bytes = std::move(bytes),
                       weak = weak_from_this()](error_code) mutable {
      const auto self = weak.lock();
      if (self && self->socket_.is_open() && !self->truncated_) {
        self->Send(std::move(bytes), next_step::kNone);
      }
    });
  }

  // Closes the connection after `delay` unless another request has been read.
  void CloseLater(milliseconds delay) {
    const auto timer =
        std::make_shared<asio::steady_timer>(socket_.get_executor(), delay);
    timer->async_wait(
        [timer, weak = weak_from_this(), read = requests_read_](error_code) {
          const auto self = weak.lock();
          if (self && self->requests_read_ == read) {
            self->Close();
          }
        });
  }

  void SendFirst() {
    asio::async_write(socket_, asio::buffer(outgoing_.front().bytes),
                      [self = shared_from_this()](error_code error, size_t) {
                        self->OnSent(error);
                      });
  }

  void OnSent(error_code error) {
    const next_step then = error ? next_step::kClose : outgoing_.front().then;
    outgoing_.pop_front();
    switch (then) {
      case next_step::kNone:
        break;
      case next_step::kRead:
        Read();
        break;
      case next_step::kReset:
        Reset();
        [[fallthrough]];
      case next_step::kClose:
        Close();
        return;
    }
    if (!outgoing_.empty()) {
      SendFirst();
    }
  }

  void Close() {
    error_code ignored;
    socket_.close(ignored);
    if (const auto server = server_.lock()) {
      server->sessions.erase(shared_from_this());
    }
  }

  tcp::socket socket_;
  std::weak_ptr<http_server::state> server_;
  beast::flat_buffer buffer_;
  std::optional<bhttp::request_parser<bhttp::string_body>> parser_;
  std::deque<outgoing_message> outgoing_;
  // The connection's last response; empty before the first.
  std::string previous_;
  std::uint64_t requests_read_ = 0;
  bool keep_alive_ = true;
  bool is_head_ = false;
  bool is_answered_ = false;
  // Nothing follows a truncated response: it would become a part of it.
  bool truncated_ = false;
};

void Admit(const std::shared_ptr<http_server::state>& server,
           tcp::socket socket) {
  error_code ignored;
  if (server->sessions.size() >= server->max_connections()) {
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
    return;
  }
  socket.set_option(tcp::no_delay(true), ignored);
  const auto added = std::make_shared<session>(std::move(socket), server);
  server->sessions.insert(added);
  server->peak = std::max(server->peak, server->sessions.size());
  added->Read();
}

void Accept(const std::shared_ptr<http_server::state>& server) {
  server->acceptor.async_accept([server](error_code error, tcp::socket socket) {
    if (server->stopped || error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      Accept(server);
      return;
    }
    server->accept_timer.expires_after(server->options.accept_time);
    server->accept_timer.async_wait(
        [server, accepted = std::make_shared<tcp::socket>(std::move(socket))](
            error_code) {
          if (!server->stopped) {
            Admit(server, std::move(*accepted));
            Accept(server);
          }
        });
  });
}

}  // namespace

http_server::http_server(std::shared_ptr<state> initial)
    : state_(std::move(initial)) {}

result<std::shared_ptr<http_server>> http_server::Start(
    asio::io_context& io,
    const http_server_options& options,
    http_handler handler) {
  const auto server = std::make_shared<state>(io, options, std::move(handler));
  error_code error;
  const tcp::endpoint where(asio::ip::make_address(options.listen.ip(), error),
                            options.listen.port());
  if (!error) {
    server->acceptor.open(where.protocol(), error);
  }
  if (!error) {
    server->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    server->acceptor.bind(where, error);
  }
  if (!error) {
    server->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return bluebell::error(error, step::kListen, options.listen.ToString(), "");
  }
  Accept(server);
  return std::shared_ptr<http_server>(new http_server(server));
}

void http_server::SetResponseFaults(std::function<response_fault()> choose) {
  state_->choose_fault = std::move(choose);
}

void http_server::SetCloseHandler(
    std::function<void(const http_request&)> on_closed) {
  state_->on_closed = std::move(on_closed);
}

void http_server::SetConnectionLimit(std::function<std::size_t()> limit) {
  state_->max_connections = std::move(limit);
}

void http_server::Stop() {
  state_->stopped = true;
  error_code ignored;
  state_->acceptor.close(ignored);
  state_->accept_timer.cancel();
  for (const auto& open : state_->sessions) {
    open->Reset();
  }
  state_->sessions.clear();
}

std::size_t http_server::connections() const {
  return state_->sessions.size();
}

std::size_t http_server::peak_connections() const {
  return state_->peak;
}

http_response JsonResponse(unsigned status, const std::string& json) {
  http_response reply(bhttp::int_to_status(status), kHttp11);
  reply.set(bhttp::field::content_type, "application/json");
  reply.body() = json;
  return reply;
}

}  // namespace bluebell
