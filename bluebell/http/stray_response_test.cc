// Random runs of the HTTP client against a server that sends copies and parts
// of earlier responses after complete ones.

#include <cstddef>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/http/http_client.h"
#include "bluebell/http/internal/response_script.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;

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

std::string PartOf(const std::vector<std::string>& sent,
                   const stray_part& part) {
  const std::string& source = sent[part.source % sent.size()];
  return source.substr(
      0,
      source.size() * static_cast<std::size_t>(part.percent) / kWholePercent);
}

// The planned response to a call, after the parts that precede it.
std::string NextBytes(const planned_response& plan,
                      std::size_t number,
                      std::vector<std::string>& sent) {
  std::string bytes;
  for (const stray_part& part : plan.before) {
    bytes += sent.empty() ? "" : PartOf(sent, part);
  }
  sent.push_back(ResponseTo(number, plan.status));
  return bytes + sent.back();
}

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
    std::size_t number = 0;
    response_script server(io, [&](std::vector<std::string>& sent) {
      return NextBytes(plan[number], number, sent);
    });
    auto client =
        http_client::Make(io, server.where(), http_client_options()).value();
    for (; number < plan.size(); ++number) {
      const auto outcome = CallOnce(io, *client, kTimeout);
      RC_ASSERT(!outcome.has_value() || HasOneHead(outcome.value(), number));
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
    std::size_t number = 0;
    response_script server(io, [&](std::vector<std::string>& sent) {
      return NextBytes(plan[number], number, sent);
    });
    http_client_options options;
    options.reuse_connections = false;
    auto client = http_client::Make(io, server.where(), options).value();
    for (; number < plan.size(); ++number) {
      const auto outcome = CallOnce(io, *client, kTimeout);
      RC_ASSERT(outcome.has_value());
      RC_ASSERT(outcome.value().body() == BodyOf(number, plan[number].status));
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace bluebell
