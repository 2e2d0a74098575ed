// Callers that don't read their responses.

#include <algorithm>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/byte_budget.h"
#include "bluebell/proxy/internal/gateway_path.h"
#include "platform/wire_samples.h"

namespace bluebell {
namespace {

constexpr std::size_t kMemory = 8U << 20U;
constexpr std::size_t kCallers = 100;
// The bytes of the largest response that is accepted. Four of them use up the
// memory.
constexpr std::size_t kLargest = kMemory / 4;

std::string LargestResponse() {
  std::string body(kLargest, 'x');
  const std::string response =
      platform::SampleResponse(gateway_path::kAttempt, body);
  body.resize(2 * kLargest - response.size());
  return platform::SampleResponse(gateway_path::kAttempt, body);
}

// Guards against responses that nobody reads and that occupy slots, or memory
// beyond its limit, or all of it, so that requests of other callers fail.
TEST_CASE("callers that read nothing don't keep others from being served") {
  const auto memory = std::make_shared<byte_budget>(kMemory);
  endpoint_script script;
  script.bytes = LargestResponse();
  REQUIRE(script.bytes.size() == kLargest);
  gateway_path gateway(request_kind::kNonIdempotent, script, memory);
  std::vector<boost::asio::ip::tcp::socket> callers;
  std::size_t most_used = 0;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(gateway.CallWithoutReading());
    const instant limit = BootNow() + seconds(2);
    // Both endpoints have one slot each, which an unread response would keep.
    while (script.requests <= i && BootNow() < limit) {
      gateway.io().run_one_for(milliseconds(10));
      most_used = std::max(most_used, memory->used());
    }
    REQUIRE(script.requests == i + 1);
  }
  gateway.io().run_for(milliseconds(100));
  CHECK(most_used <= kMemory);
  CHECK(memory->used() == 3 * kLargest);
  script.bytes = platform::SampleResponse(gateway_path::kAttempt, "small");
  for (int i = 0; i < 20; ++i) {
    const std::string received = gateway.Call();
    CAPTURE(i, received.substr(0, 200));
    CHECK(received.starts_with("HTTP/1.1 200 "));
    CHECK(received.ends_with("small"));
  }
  callers.clear();
  gateway.io().run_for(milliseconds(100));
  CHECK(memory->used() == 0);
}

}  // namespace
}  // namespace bluebell
