#include "bluebell/ctl/admin_channel.h"

#include <string>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

namespace bluebell::ctl {
namespace {

using boost::asio::ip::tcp;

// Accepts one connection, reads a request and sends `reply` as it is.
class one_reply_server {
 public:
  explicit one_reply_server(std::string reply)
      : acceptor_(io_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this, reply = std::move(reply)] {
          tcp::socket socket = acceptor_.accept();
          std::string request;
          boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                                  "\r\n\r\n");
          boost::asio::write(socket, boost::asio::buffer(reply));
        }) {}
  one_reply_server(const one_reply_server&) = delete;
  one_reply_server& operator=(const one_reply_server&) = delete;
  ~one_reply_server() { thread_.join(); }

  address where() const {
    return address::Parse("127.0.0.1:" +
                          std::to_string(acceptor_.local_endpoint().port()))
        .value();
  }

 private:
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

const admin_request kRequest{"POST", "/config", "{}"};
// Nothing listens on the discard port.
const address kNobody = address::Parse("127.0.0.1:9").value();

TEST_CASE("a daemon that is down is skipped, and its refusal is reported") {
  const one_reply_server server(
      "HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}");
  const auto reply =
      MakeHttpChannel({kNobody, server.where()}, seconds(5))(kRequest);
  REQUIRE(reply);
  CHECK(reply.value().status == 409);
  CHECK(reply.value().from == server.where().ToString());
  const auto none = MakeHttpChannel({kNobody}, seconds(5))(kRequest);
  REQUIRE_FALSE(none);
  CHECK(none.error().code() == errc::kUnavailable);
  CHECK(none.error().peer().find("127.0.0.1:9") != std::string::npos);
}

TEST_CASE("a reply that breaks off is an error and not sent to the next") {
  const one_reply_server server("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  const auto reply =
      MakeHttpChannel({server.where(), kNobody}, seconds(5))(kRequest);
  REQUIRE_FALSE(reply);
  CHECK(reply.error().code() == errc::kConnectionLost);
  CHECK(reply.error().at() == step::kReadReply);
}

}  // namespace
}  // namespace bluebell::ctl
