#include "bluebell/http/caller_protocol.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "bluebell/http/endpoint_protocol.h"

namespace bluebell {
namespace {

namespace bhttp = boost::beast::http;

const std::string kId = "01931e0c-3c1a-7c1e-8f00-0123456789ab";

std::optional<service_terms> Lookup(const service_name& service,
                                    const caller_name& /*caller*/) {
  if (service != service_name("tracker") && service != service_name("notes")) {
    return std::nullopt;
  }
  return service_terms{
      service == service_name("tracker"),
      {milliseconds(100), milliseconds(200), milliseconds(300)},
      {milliseconds(1000), milliseconds(2000), milliseconds(3000)}};
}

// Nothing unless `bytes` contain one complete message.
std::optional<http_request> ReadMessage(const std::string& bytes) {
  bhttp::request_parser<bhttp::string_body> parser;
  parser.eager(true);
  parser.body_limit(4096);
  boost::system::error_code failure;
  std::size_t used = 0;
  while (!failure && !parser.is_done() && used < bytes.size()) {
    used += parser.put(
        boost::asio::buffer(bytes.data() + used, bytes.size() - used), failure);
  }
  if (failure || !parser.is_done()) {
    return std::nullopt;
  }
  return parser.release();
}

result<caller_request> Parse(const std::string& line,
                             const std::string& headers) {
  const auto message =
      ReadMessage(line + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n");
  REQUIRE(message);
  return ParseCallerRequest(*message, Lookup, request_arrival{});
}

// Failure: a field of the request is lost or changed between the caller's
// message and the one to the endpoint, or a hop-by-hop header is forwarded.
TEST_CASE("a caller's request reaches the endpoint with all its fields") {
  const auto request = Parse(
      "POST /v1/tracker/bins/7?x=1",
      "Bluebell-Key: bin-7\r\nBluebell-Rank: urgent\r\nBluebell-Caller: d1\r\n"
      "Bluebell-Deadline-Ms: 250\r\nIdempotency-Key: " +
          kId +
          "\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
          "Content-Length: 0\r\n");
  REQUIRE(request);
  CHECK(request.value().key == "bin-7");
  CHECK(request.value().priority == rank::kUrgent);
  CHECK(request.value().deadline == instant() + milliseconds(250));
  CHECK_FALSE(request.value().idempotent);
  CHECK(request.value().id_from_caller);
  // Hop-by-hop headers, including those that Connection names, are dropped.
  CHECK(request.value().headers == std::vector<http_header>{{"X-End", "2"}});

  order_target target;
  target.endpoint.instance = {endpoint_id("e"), incarnation(7)};
  target.range = slice_range{16, 31};
  target.at = epoch(3);
  const http_request order =
      OrderMessage(request.value(), target, 9, instant());
  CHECK(order.target() == "/v1/tracker/bins/7?x=1");
  CHECK(order["Bluebell-Instance"] == "e/7");
  CHECK(order["Bluebell-Slice"] == "0000000000000010");
  CHECK(order["Bluebell-Epoch"] == "3");
  CHECK(order["Bluebell-Dispatcher-Epoch"] == "9");
  CHECK(order["Bluebell-Deadline-Ms"] == "250");
  CHECK(order["Idempotency-Key"] == kId);
}

// Failure: a caller gets more time than the service allows.
TEST_CASE("a deadline above the service's maximum is reduced to it") {
  const auto request = Parse("GET /v1/tracker/a",
                             "Bluebell-Key: k\r\nBluebell-Deadline-Ms: 9999999"
                             "\r\n");
  REQUIRE(request);
  CHECK(request.value().deadline == instant() + milliseconds(2000));
  CHECK(request.value().idempotent);
}

// Failure: a malformed request is forwarded, or refused with a wrong status.
TEST_CASE("invalid input is refused with a status and not forwarded") {
  const std::string key = "Bluebell-Key: k\r\n";
  struct invalid_case {
    std::string line, headers;
    unsigned status;
  };
  const auto invalid = GENERATE_COPY(values<invalid_case>({
      {"GET /v2/tracker/a", key, 400},
      {"GET /v1/", key, 400},
      {"GET /v1/tracker/../../bluebell/drain", key, 400},
      {"GET /v1/tracker/%2e%2E/x", key, 400},
      {"GET /v1/nowhere/a", key, 404},
      {"GET /v1/tracker/a", "", 400},
      {"GET /v1/tracker/a", key + key, 400},
      {"GET /v1/tracker/a", key + "Bluebell-Rank: soon\r\n", 400},
      {"GET /v1/tracker/a", key + "Bluebell-Idempotent: yes\r\n", 400},
      {"GET /v1/tracker/a", key + "Bluebell-Deadline-Ms: -1\r\n", 400},
      {"GET /v1/tracker/a", key + "Bluebell-Deadline-Ms: 0\r\n", 503},
      {"GET /v1/tracker/a", key + "Idempotency-Key: 12\r\n", 400},
      {"POST /v1/tracker/a", key + "Content-Length: 0\r\n", 400},
  }));
  CAPTURE(invalid.line, invalid.headers);
  const auto request = Parse(invalid.line, invalid.headers);
  REQUIRE_FALSE(request);
  const http_response response =
      RefusalResponse(request.error(), response_context{});
  CHECK(response.result_int() == invalid.status);
  CHECK(response["Bluebell-Outcome"] == "not_run");
  CHECK(response.body().size() > 20);
}

// Failure: a caller can't tell an endpoint's 503 from one of the router and
// repeats a request that has run.
TEST_CASE("each of the three outcomes can be told from its response") {
  const response_context context;
  const http_response answered =
      CallerResponse(answer{503, {{"X-A", "1"}}, "body"}, context);
  CHECK(answered.result_int() == 503);
  CHECK(answered["Bluebell-Outcome"] == "answer");
  CHECK(answered["X-A"] == "1");
  const http_response overloaded_response = CallerResponse(
      not_run{not_run_reason::kOverloaded, "", milliseconds(50)}, context);
  CHECK(overloaded_response.result_int() == 429);
  CHECK(overloaded_response["Retry-After"] == "1");
  CHECK(overloaded_response["Bluebell-Retry-After-Ms"] == "50");
  const http_response without_owner =
      CallerResponse(not_run{not_run_reason::kNoOwner, "", {}}, context);
  CHECK(without_owner.result_int() == 503);
  CHECK(without_owner["Bluebell-Outcome"] == "not_run");
  const http_response lost =
      CallerResponse(unknown{unknown_reason::kConnectionLost, ""}, context);
  CHECK(lost.result_int() == 504);
  CHECK(lost["Bluebell-Outcome"] == "unknown");
}

// Failure: damaged bytes are read as a request that the caller didn't send.
// Each round changes up to four bytes of a valid message.
TEST_CASE("damaged and truncated messages never become another request") {
  const std::string whole =
      "POST /v1/tracker/a HTTP/1.1\r\nHost: x\r\nBluebell-Key: k\r\n"
      "Idempotency-Key: " +
      kId + "\r\nContent-Length: 4\r\n\r\nbody";
  const std::uint64_t seed = GENERATE(20'261'204U, 7U);
  CAPTURE(seed);
  std::mt19937_64 random(seed);
  for (std::size_t length = 0; length < whole.size(); ++length) {
    REQUIRE_FALSE(ReadMessage(whole.substr(0, length)));
  }
  int accepted = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = whole;
    for (std::uint64_t i = 0; i <= random() % 4; ++i) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    const auto message = ReadMessage(bytes);
    if (!message) {
      continue;
    }
    const auto request =
        ParseCallerRequest(*message, Lookup, request_arrival{});
    if (!request) {
      const auto response =
          RefusalResponse(request.error(), response_context{});
      REQUIRE(response["Bluebell-Outcome"] == "not_run");
      continue;
    }
    ++accepted;
    REQUIRE((request.value().idempotent || request.value().id_from_caller));
    REQUIRE(request.value().target.starts_with("/v1/tracker"));
    const auto& headers = request.value().headers;
    REQUIRE(std::none_of(headers.begin(), headers.end(),
                         [](const http_header& header) {
                           return header.value.find('\n') != std::string::npos;
                         }));
  }
  CHECK(accepted > 0);
}

}  // namespace
}  // namespace bluebell
