// Random runs of the HTTP client against a server that sends copies and parts
// of earlier responses after complete ones.

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/verb.hpp>
#include <catch2/catch.hpp>

#include "bluebell/http/http_client.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr int kWholePercent = 100;
// A part of a response may hold a call until its timeout.
constexpr milliseconds kTimeout{40};

// A part of an earlier response of the connection.
struct stray_part {
  std::size_t source = 0;
  int percent = 0;
};

struct planned_response {
  unsigned status = 200;
  std::vector<stray_part> before;
};

// The body, and a field of the head, state the status and the number of the
// call.
std::string BodyOf(std::size_t number, unsigned status) {
  return std::to_string(status) + " for " + std::to_string(number);
}

std::string ResponseTo(std::size_t number, unsigned status) {
  const std::string body = BodyOf(number, status);
  return "HTTP/1.1 " + std::to_string(status) + " Reason\r\nServer: " + body +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Answers calls as planned, in their order.
class stray_server {
 public:
  stray_server(asio::io_context& io, std::vector<planned_response> plan)
      : plan_(std::move(plan)),
        acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    Accept();
  }

  address where() const {
    return address::Parse("127.0.0.1:" +
                          std::to_string(acceptor_.local_endpoint().port()))
        .value();
  }
  void Expect(std::size_t number) { expected_ = number; }

 private:
  struct session {
    explicit session(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    std::string input;
    std::vector<std::string> sent;
  };

  void Accept() {
    acceptor_.async_accept(
        [this](boost::system::error_code failure, tcp::socket socket) {
          if (!failure) {
            Serve(std::make_shared<session>(std::move(socket)));
            Accept();
          }
        });
  }

  void Serve(const std::shared_ptr<session>& served) {
    asio::async_read_until(
        served->socket, asio::dynamic_buffer(served->input), "\r\n\r\n",
        [this, served](boost::system::error_code failure, std::size_t size) {
          if (failure) {
            return;
          }
          served->input.erase(0, size);
          asio::write(served->socket, asio::buffer(NextBytes(served->sent)),
                      failure);
          Serve(served);
        });
  }

  // The response to the expected call, after the parts that precede it.
  std::string NextBytes(std::vector<std::string>& sent) const {
    const planned_response& plan = plan_[expected_];
    std::string bytes;
    for (const stray_part& part : plan.before) {
      bytes += sent.empty() ? "" : PartOf(sent, part);
    }
    sent.push_back(ResponseTo(expected_, plan.status));
    return bytes + sent.back();
  }

  static std::string PartOf(const std::vector<std::string>& sent,
                            const stray_part& part) {
    const std::string& source = sent[part.source % sent.size()];
    return source.substr(
        0,
        source.size() * static_cast<std::size_t>(part.percent) / kWholePercent);
  }

  std::vector<planned_response> plan_;
  tcp::acceptor acceptor_;
  std::size_t expected_ = 0;
};

std::vector<planned_response> AnyPlan() {
  std::vector<planned_response> plan(
      static_cast<std::size_t>(*rc::gen::inRange(2, 6)));
  for (planned_response& each : plan) {
    each.status = *rc::gen::element(200U, 409U, 503U);
    each.before.resize(static_cast<std::size_t>(*rc::gen::inRange(0, 3)));
    for (stray_part& part : each.before) {
      part.source = static_cast<std::size_t>(*rc::gen::inRange(0, 12));
      part.percent = *rc::gen::inRange(0, kWholePercent + 1);
    }
  }
  return plan;
}

std::optional<result<http_response>> Call(asio::io_context& io,
                                          http_client& client) {
  std::optional<result<http_response>> outcome;
  client.Call(
      http_request(boost::beast::http::verb::post, "/order", 11), kTimeout,
      step::kGrantLease,
      [&](const result<http_response>& response) { outcome = response; });
  io.restart();
  while (!outcome && io.run_one() > 0) {
  }
  return outcome;
}

// True if the head is one that the server sent. A body that was cut off can't
// be told from a whole one.
bool HasOneHead(const http_response& response, std::size_t last_number) {
  const auto stated = response["Server"];
  for (std::size_t number = 0; number <= last_number; ++number) {
    if (stated == BodyOf(number, response.result_int())) {
      return true;
    }
  }
  return false;
}

// Guards against the response to an order that is put together of two: a grant
// that an endpoint refused would count as accepted.
TEST_CASE("no response to a call has the heads of two") {
  const bool holds = rc::check("random parts of responses", [] {
    const std::vector<planned_response> plan = AnyPlan();
    asio::io_context io;
    stray_server server(io, plan);
    auto client =
        http_client::Make(io, server.where(), http_client_options()).value();
    for (std::size_t i = 0; i < plan.size(); ++i) {
      server.Expect(i);
      const auto outcome = Call(io, *client);
      RC_ASSERT(outcome.has_value());
      RC_ASSERT(!outcome->has_value() || HasOneHead(outcome->value(), i));
    }
  });
  CHECK(holds);
}

// Guards against stray bytes that pass for the proof that an order was carried
// out.
TEST_CASE("a call with a connection of its own gets its own response") {
  const bool holds = rc::check("random parts of responses", [] {
    const std::vector<planned_response> plan = AnyPlan();
    asio::io_context io;
    stray_server server(io, plan);
    http_client_options options;
    options.reuse_connections = false;
    auto client = http_client::Make(io, server.where(), options).value();
    for (std::size_t i = 0; i < plan.size(); ++i) {
      server.Expect(i);
      const auto outcome = Call(io, *client);
      RC_ASSERT(outcome.has_value());
      RC_ASSERT(outcome->has_value());
      RC_ASSERT(outcome->value().body() == BodyOf(i, plan[i].status));
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace bluebell
