#include "bluebell/ctl/admin_channel.h"

#include <cctype>
#include <string_view>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace bluebell::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

// A page of a region with a few thousand endpoints is below this.
constexpr std::uint64_t kMaxBodyBytes = 64ULL << 20U;

// One connection, used for one exchange. Each step runs the event loop until
// its operation has ended or the time is up.
class http_exchange {
 private:
  auto Done() {
    return
        [this](beast::error_code code, auto&&... /*size*/) { failure_ = code; };
  }

 public:
  http_exchange(address peer, milliseconds timeout)
      : peer_(std::move(peer)), timeout_(timeout), stream_(io_) {}

  result<admin_reply> Run(const admin_request& wanted) {
    const asio::ip::tcp::endpoint where(asio::ip::make_address(peer_.ip()),
                                        peer_.port());
    stream_.expires_after(timeout_);
    stream_.async_connect(where, Done());
    if (Wait()) {
      return error(errc::kUnavailable, step::kConnect, peer_.ToString(),
                   failure_.message());
    }
    http::request<http::string_body> request{
        http::string_to_verb(wanted.method), wanted.target, 11};
    request.set(http::field::host, peer_.ToString());
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = wanted.body;
    request.prepare_payload();
    http::async_write(stream_, request, Done());
    if (Wait()) {
      return Lost(step::kSendOrder);
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    http::async_read(stream_, buffer, parser, Done());
    if (Wait()) {
      return Lost(step::kReadReply);
    }
    return admin_reply{parser.get().result_int(),
                       std::move(parser.get().body()), peer_.ToString()};
  }

 private:
  // True if the step failed.
  bool Wait() {
    io_.restart();
    io_.run();
    return failure_.failed();
  }

  error Lost(step at) const {
    const bool late = failure_ == beast::error::timeout;
    return {late ? errc::kTimeout : errc::kConnectionLost, at, peer_.ToString(),
            late ? "no reply within " + std::to_string(timeout_.count()) + " ms"
                 : failure_.message()};
  }

  address peer_;
  milliseconds timeout_;
  asio::io_context io_;
  beast::tcp_stream stream_;
  beast::error_code failure_;
};

}  // namespace

admin_channel MakeHttpChannel(std::vector<address> daemons,
                              milliseconds timeout) {
  return [daemons = std::move(daemons),
          timeout](const admin_request& wanted) -> result<admin_reply> {
    std::string tried;
    for (const address& daemon : daemons) {
      result<admin_reply> reply = http_exchange(daemon, timeout).Run(wanted);
      if (reply || reply.error().code() != errc::kUnavailable) {
        return reply;
      }
      tried += (tried.empty() ? "" : ", ") + daemon.ToString() + " (" +
               reply.error().detail() + ")";
    }
    return error(errc::kUnavailable, step::kConnect, tried, "");
  };
}

std::string EscapeQuery(const std::string& text) {
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' ||
        c == '~') {
      escaped += c;
    } else {
      escaped += '%';
      escaped += kHexDigits[byte >> 4U];
      escaped += kHexDigits[byte & 0xFU];
    }
  }
  return escaped;
}

}  // namespace bluebell::ctl
