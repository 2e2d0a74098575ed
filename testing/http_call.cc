#include "testing/http_call.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kHttp11 = 11;
constexpr std::uint64_t kMaxBody = 256U << 20U;

class exchange {
 public:
  exchange(asio::io_context& io, http_request request)
      : stream_(io), request_(std::move(request)) {
    parser_.body_limit(kMaxBody);
  }

  void Start(const tcp::endpoint& where, milliseconds limit) {
    stream_.expires_after(limit);
    stream_.async_connect(where, [this](error_code error) {
      if (!Failed(error)) {
        Write();
      }
    });
  }

  error_code failure() const { return failure_; }
  http_response Response() { return parser_.release(); }

 private:
  bool Failed(error_code error) {
    failure_ = error;
    return static_cast<bool>(error);
  }

  void Write() {
    bhttp::async_write(stream_, request_, [this](error_code error, size_t) {
      if (!Failed(error)) {
        Read();
      }
    });
  }

  void Read() {
    bhttp::async_read(stream_, buffer_, parser_,
                      [this](error_code error, size_t) { Failed(error); });
  }

  beast::tcp_stream stream_;
  http_request request_;
  beast::flat_buffer buffer_;
  bhttp::response_parser<bhttp::string_body> parser_;
  error_code failure_;
};

}  // namespace

result<http_response> HttpCall(const address& where,
                               http_request request,
                               milliseconds limit) {
  request.version(kHttp11);
  request.set(bhttp::field::host, where.ToString());
  request.keep_alive(false);
  request.prepare_payload();
  asio::io_context io;
  exchange call(io, std::move(request));
  call.Start({asio::ip::make_address(where.ip()), where.port()}, limit);
  io.run();
  if (call.failure()) {
    return error(call.failure(), step::kReadReply, where.ToString(), "");
  }
  return call.Response();
}

result<http_response> HttpCall(const address& where,
                               bhttp::verb method,
                               const std::string& target,
                               const std::string& json,
                               milliseconds limit) {
  http_request request(method, target, kHttp11);
  if (!json.empty()) {
    request.set(bhttp::field::content_type, "application/json");
    request.body() = json;
  }
  return HttpCall(where, std::move(request), limit);
}

}  // namespace bluebell
