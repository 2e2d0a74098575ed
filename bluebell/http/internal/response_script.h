// An HTTP server for tests of http_client. It sends whatever bytes a function
// returns for each request.
//
//   response_script server(io, [](std::vector<std::string>& sent) {
//     sent.push_back("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
//     return sent.back();
//   });
//   const result<http_response> response = CallOnce(io, client, seconds(2));

#ifndef BLUEBELL_HTTP_INTERNAL_RESPONSE_SCRIPT_H_
#define BLUEBELL_HTTP_INTERNAL_RESPONSE_SCRIPT_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/time.h"
#include "bluebell/http/http_client.h"

namespace bluebell {

class response_script {
 public:
  // `sent` is kept for each connection and changed by the function only.
  using next_bytes = std::function<std::string(std::vector<std::string>& sent)>;

  response_script(boost::asio::io_context& io, next_bytes next)
      : next_(std::move(next)),
        acceptor_(io,
                  boost::asio::ip::tcp::endpoint(
                      boost::asio::ip::address_v4::loopback(),
                      0)) {
    Accept();
  }

  address where() const {
    return address::Parse("127.0.0.1:" +
                          std::to_string(acceptor_.local_endpoint().port()))
        .value();
  }

 private:
  struct session {
    explicit session(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted)) {}
    boost::asio::ip::tcp::socket socket;
    std::string input;
    std::vector<std::string> sent;
  };

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code failure,
                                  boost::asio::ip::tcp::socket socket) {
      if (!failure) {
        Serve(std::make_shared<session>(std::move(socket)));
        Accept();
      }
    });
  }

  void Serve(const std::shared_ptr<session>& served) {
    boost::asio::async_read_until(
        served->socket, boost::asio::dynamic_buffer(served->input), "\r\n\r\n",
        [this, served](boost::system::error_code failure, std::size_t size) {
          if (failure) {
            return;
          }
          served->input.erase(0, size);
          boost::asio::write(served->socket,
                             boost::asio::buffer(next_(served->sent)), failure);
          Serve(served);
        });
  }

  next_bytes next_;
  boost::asio::ip::tcp::acceptor acceptor_;
};

// Sends one request and runs `io` until it ends.
inline result<http_response> CallOnce(boost::asio::io_context& io,
                                      http_client& client,
                                      milliseconds timeout) {
  std::optional<result<http_response>> outcome;
  client.Call(
      http_request(boost::beast::http::verb::post, "/order", 11), timeout,
      step::kGrantLease,
      [&](const result<http_response>& response) { outcome = response; });
  io.restart();
  while (!outcome && io.run_one() > 0) {
  }
  return std::move(outcome).value();
}

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_INTERNAL_RESPONSE_SCRIPT_H_
