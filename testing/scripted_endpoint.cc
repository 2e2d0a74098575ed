#include "testing/scripted_endpoint.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>
#include <utility>

#include "bluebell/http/http_message.h"

namespace bluebell {

namespace {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

}  // namespace

std::string WholeAnswer(const std::string& body, const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nBluebell-Instance: e/1\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class scripted_endpoint::server
    : public std::enable_shared_from_this<scripted_endpoint::server> {
 public:
  server(boost::asio::io_context& io, std::function<script_step(int)> script)
      : acceptor_(io,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        script_(std::move(script)) {}

  void Accept() {
    acceptor_.async_accept(
        [self = shared_from_this()](error_code failure, tcp::socket socket) {
          if (!failure) {
            self->Read(std::make_shared<connection>(std::move(socket)));
            self->Accept();
          }
        });
  }

  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

  std::vector<std::string> orders() const {
    const std::lock_guard lock(mutex_);
    return orders_;
  }
  int cancellations() const {
    const std::lock_guard lock(mutex_);
    return cancellations_;
  }

 private:
  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http_request request;
    script_step step;
  };

  void Read(const std::shared_ptr<connection>& from) {
    from->request = {};
    boost::beast::http::async_read(
        from->socket, from->buffer, from->request,
        [self = shared_from_this(), from](error_code failure,
                                          std::size_t /*bytes*/) {
          if (!failure) {
            self->Answer(from);
          }
        });
  }

  void Answer(const std::shared_ptr<connection>& to) {
    to->step = NextStep(to->request);
    boost::asio::async_write(to->socket, boost::asio::buffer(to->step.bytes),
                             [self = shared_from_this(), to](
                                 error_code failure, std::size_t /*bytes*/) {
                               if (!failure && !to->step.close) {
                                 self->Read(to);
                               }
                             });
  }

  script_step NextStep(const http_request& request) {
    const std::lock_guard lock(mutex_);
    if (request.target() == "/bluebell/cancel") {
      ++cancellations_;
      return {WholeAnswer(R"({"state":"running"})"), false};
    }
    std::ostringstream bytes;
    bytes << request;
    orders_.push_back(bytes.str());
    return script_(static_cast<int>(orders_.size()) - 1);
  }

  tcp::acceptor acceptor_;
  std::function<script_step(int)> script_;
  mutable std::mutex mutex_;
  std::vector<std::string> orders_;
  int cancellations_ = 0;
};

scripted_endpoint::scripted_endpoint(std::function<script_step(int)> script)
    : server_(std::make_shared<server>(io_, std::move(script))) {
  server_->Accept();
  thread_ = std::thread([this] { io_.run(); });
}

scripted_endpoint::~scripted_endpoint() {
  io_.stop();
  thread_.join();
}

address scripted_endpoint::where() const {
  return address::Parse("127.0.0.1:" + std::to_string(server_->port())).value();
}

std::vector<std::string> scripted_endpoint::orders() const {
  return server_->orders();
}

int scripted_endpoint::cancellations() const {
  return server_->cancellations();
}

}  // namespace bluebell
