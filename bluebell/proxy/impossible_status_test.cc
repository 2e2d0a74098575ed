// Responses with an impossible status line, from the socket of an endpoint to
// the socket of a caller.

#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/http/internal/impossible_responses.h"
#include "bluebell/proxy/internal/gateway_path.h"
#include "platform/wire_samples.h"

namespace bluebell {
namespace {

const std::string kAttempt = gateway_path::kAttempt;
const std::string kGoodBody = endpoint_script::kGoodBody;
const std::string kBadBody = "bad body";

const std::string kFields = platform::SampleHeaderLines(kAttempt);

// The responses that end by themselves, each also with a valid response behind
// it, and those that end with their connection.
std::vector<endpoint_script> ImpossibleScripts() {
  std::vector<endpoint_script> scripts;
  const std::string valid = platform::SampleResponse(kAttempt, "behind");
  for (const std::string& each : ImpossibleResponses(kFields, kBadBody)) {
    const bool closes = each.find("Connection: close") != std::string::npos;
    scripts.push_back({each, false, closes});
    scripts.push_back({each + valid, false, closes});
  }
  for (const std::string_view line : kImpossibleStatusLines) {
    const std::string head = std::string(line) + "\r\n" + kFields + "\r\n";
    scripts.push_back({head, false, true});
    scripts.push_back({head + kBadBody, false, true});
    scripts.push_back({head + valid, false, true});
  }
  return scripts;
}

bool HasStatus(const std::string& received, const std::string& status) {
  return received.starts_with("HTTP/1.1 " + status + " ") &&
         received.find("\nHTTP/") == std::string::npos;
}

// Guards against a caller that gets a response with the status 000, or bytes
// behind it, from an endpoint in trouble, and against a request that such a
// response makes run twice though it may not.
TEST_CASE("an impossible status ends a request with 502") {
  const request_kind kind =
      GENERATE(request_kind::kIdempotent, request_kind::kNonIdempotent);
  for (endpoint_script script : ImpossibleScripts()) {
    CAPTURE(script.bytes, script.closes);
    gateway_path gateway(kind, script);
    const std::string received = gateway.Call();
    CAPTURE(received);
    CHECK(HasStatus(received, "502"));
    CHECK(received.find(kBadBody) == std::string::npos);
    CHECK(received.find("behind") == std::string::npos);
    CHECK(script.requests == (kind == request_kind::kIdempotent ? 2 : 1));
  }
}

// Guards against idempotent requests that fail though another endpoint serves
// them, and against non-idempotent ones that run there a second time.
TEST_CASE("only an idempotent request is retried after an impossible status") {
  const request_kind kind =
      GENERATE(request_kind::kIdempotent, request_kind::kNonIdempotent);
  const bool may_repeat = kind == request_kind::kIdempotent;
  for (endpoint_script script : ImpossibleScripts()) {
    script.first_only = true;
    CAPTURE(script.bytes, script.closes);
    gateway_path gateway(kind, script);
    const std::string received = gateway.Call();
    CAPTURE(received);
    CHECK(HasStatus(received, may_repeat ? "200" : "502"));
    CHECK(received.ends_with(kGoodBody) == may_repeat);
    CHECK(script.requests == (may_repeat ? 2 : 1));
  }
}

// Guards against a check that refuses what endpoints may send.
TEST_CASE("the last possible statuses reach the caller") {
  for (const std::string status : {"404", "599"}) {
    endpoint_script script;
    script.bytes = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 ";
    script.bytes.append(status)
        .append(" Odd\r\n")
        .append(kFields)
        .append("Content-Length: 0\r\n\r\n");
    gateway_path gateway(request_kind::kNonIdempotent, script);
    CHECK(HasStatus(gateway.Call(), status));
    CHECK(script.requests == 1);
  }
}

}  // namespace
}  // namespace bluebell
