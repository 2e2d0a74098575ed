// Callers that read their responses slowly or not at all.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/byte_budget.h"
#include "bluebell/proxy/internal/gateway_path.h"
#include "platform/wire_samples.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
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
  std::vector<tcp::socket> callers;
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

// How a caller reads a response.
struct reading_pace {
  std::size_t bytes_at_once = 0;
  milliseconds between_reads{0};
  milliseconds before_first_read{0};
};

// Reads until `size` bytes have arrived or the connection has ended.
asio::awaitable<void> ReadSlowly(tcp::socket& socket,
                                 reading_pace pace,
                                 std::size_t size,
                                 std::string& received) {
  asio::steady_timer timer(socket.get_executor());
  timer.expires_after(pace.before_first_read);
  co_await timer.async_wait(kAwait);
  std::string piece(pace.bytes_at_once, ' ');
  while (received.size() < size) {
    const auto [failure, count] =
        co_await socket.async_read_some(asio::buffer(piece), kAwait);
    received.append(piece, 0, count);
    if (failure) {
      co_return;
    }
    timer.expires_after(pace.between_reads);
    co_await timer.async_wait(kAwait);
  }
}

// Failure: the response of a caller that read slowly, or began to read late,
// was cut off after 2.5 s, as if the caller were gone. Its request had run.
TEST_CASE("callers that read slowly get their whole responses") {
  constexpr std::size_t kBodyBytes = 9'000;
  constexpr int kLargeSendBufferBytes = 1 << 20;
  constexpr int kPhases = 12;
  constexpr milliseconds kPhase{25};
  constexpr reading_pace kSteady{500, milliseconds(250), milliseconds(0)};
  constexpr reading_pace kLate{kBodyBytes, milliseconds(0),
                               milliseconds(4'000)};
  endpoint_script script;
  script.bytes = platform::SampleResponse(gateway_path::kAttempt,
                                          std::string(kBodyBytes, 'x'));
  gateway_path gateway(request_kind::kNonIdempotent, script);
  std::deque<tcp::socket> callers;
  std::deque<std::string> received;
  const auto call = [&](const reading_pace& pace, bool keep_alive,
                        int send_buffer_bytes) {
    callers.push_back(
        gateway.CallWithoutReading(keep_alive, send_buffer_bytes));
    received.emplace_back();
    asio::co_spawn(
        gateway.io(),
        ReadSlowly(callers.back(), pace, kBodyBytes + 1, received.back()),
        asio::detached);
  };
  // In several phases, as the kernel's probes and the checks of the delivery
  // fall together differently in each.
  for (int i = 0; i < kPhases; ++i) {
    for (const bool keep_alive : {true, false}) {
      for (const int send_buffer :
           {gateway_path::kSmallSendBufferBytes, kLargeSendBufferBytes}) {
        call(kSteady, keep_alive, send_buffer);
        call(kLate, keep_alive, send_buffer);
      }
    }
    gateway.io().run_for(kPhase);
  }
  gateway.io().run_for(seconds(7));
  CHECK(script.requests == callers.size());
  for (std::size_t i = 0; i < received.size(); ++i) {
    CAPTURE(i, received[i].size());
    CHECK(received[i].starts_with("HTTP/1.1 200 "));
    CHECK(received[i].ends_with(std::string(kBodyBytes, 'x')));
  }
}

// Guards against a response that occupies memory for as long as its caller
// likes.
TEST_CASE("a caller that never reads is disconnected") {
  constexpr int kLargeSendBufferBytes = 1 << 20;
  // The time within which callers have to take a response.
  constexpr seconds kLimit{20};
  const auto memory = std::make_shared<byte_budget>(kMemory);
  endpoint_script script;
  script.bytes = LargestResponse();
  gateway_path gateway(request_kind::kNonIdempotent, script, memory);
  const tcp::socket caller = gateway.CallWithoutReading(true);
  gateway.io().run_for(milliseconds(200));
  CHECK(memory->used() == kLargest);
  // The kernel takes the whole response of this one.
  script.bytes =
      platform::SampleResponse(gateway_path::kAttempt, std::string(9'000, 'x'));
  const tcp::socket other =
      gateway.CallWithoutReading(true, kLargeSendBufferBytes);
  gateway.io().run_for(kLimit - seconds(1));
  CHECK(memory->used() == kLargest + script.bytes.size());
  gateway.io().run_for(seconds(2));
  CHECK(memory->used() == 0);
}

// Failure: the memory of a response that was delivered just before the next one
// was written stays reserved until the connection ends.
TEST_CASE("a delivered response occupies no memory") {
  constexpr int kLargeSendBufferBytes = 1 << 20;
  const auto memory = std::make_shared<byte_budget>(kMemory);
  endpoint_script script;
  script.bytes =
      platform::SampleResponse(gateway_path::kAttempt, std::string(9'000, 'x'));
  gateway_path gateway(request_kind::kNonIdempotent, script, memory);
  tcp::socket caller = gateway.CallWithoutReading(true, kLargeSendBufferBytes);
  gateway.io().run_for(milliseconds(300));
  CHECK(memory->used() == script.bytes.size());
  script.bytes = platform::SampleResponse(gateway_path::kAttempt, "small");
  std::string received;
  asio::co_spawn(gateway.io(),
                 ReadSlowly(caller, {9'000, milliseconds(0), milliseconds(0)},
                            9'000, received),
                 asio::detached);
  gateway.io().run_for(milliseconds(20));
  asio::write(caller, asio::buffer(gateway_path::RequestBytes(true)));
  gateway.io().run_for(milliseconds(400));
  CHECK(script.requests == 2);
  CHECK(memory->used() == 0);
}

}  // namespace
}  // namespace bluebell
