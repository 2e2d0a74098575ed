// Random runs of the connection pool against an endpoint that sends bytes which
// belong to no request: copies and parts of earlier responses, and responses
// without an id, at any point between responses.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <rapidcheck.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/proxy/attempt_result.h"
#include "bluebell/proxy/endpoint_connection_pool.h"
#include "platform/wire_samples.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr int kWholePercent = 100;
// Longer than a response takes here. A part of a response may hold the
// connection until this limit.
constexpr milliseconds kTimeLimit{60};

enum class treatment : std::uint8_t {
  kServed,
  kFailed,
  kRejected,
  kRejectedUnnamed,
};

// A prefix of an earlier response of the connection, or of one without an id.
struct stray_bytes {
  std::size_t source = 0;
  int percent = 0;
};

struct planned_exchange {
  treatment how = treatment::kServed;
  bool idempotent = false;
  std::vector<stray_bytes> before;
  std::vector<stray_bytes> after;
};

bool HasRun(treatment how) {
  return how == treatment::kServed || how == treatment::kFailed;
}

std::string BodyOf(std::size_t number) {
  return "body " + std::to_string(number);
}

std::string ResponseTo(std::size_t number, treatment how) {
  const std::string attempt = "a" + std::to_string(number);
  switch (how) {
    case treatment::kServed:
      return platform::SampleResponse(attempt, BodyOf(number));
    case treatment::kFailed:
      return platform::SampleFailure(attempt, BodyOf(number));
    case treatment::kRejected:
      return platform::SampleRejection(attempt);
    case treatment::kRejectedUnnamed:
      return platform::SampleRejection("");
  }
  return "";
}

// An endpoint that treats the requests it receives as planned, in their order.
class stray_endpoint {
 public:
  stray_endpoint(asio::io_context& io, std::vector<planned_exchange> plan)
      : plan_(std::move(plan)),
        acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(io, Accept(), asio::detached);
  }

  fleet_endpoint entry() const {
    fleet_endpoint entry;
    entry.instance = {endpoint_id("i-1"), incarnation(1)};
    entry.where =
        address::Parse("127.0.0.1:" +
                       std::to_string(acceptor_.local_endpoint().port()))
            .value();
    return entry;
  }
  // The requests that arrived, by number.
  const std::vector<std::size_t>& received() const { return received_; }
  void Expect(std::size_t number) { expected_ = number; }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto [failure, socket] = co_await acceptor_.async_accept(kAwait);
      if (failure) {
        co_return;
      }
      asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve(tcp::socket socket) {
    std::string input;
    bool is_first = true;
    std::vector<std::string> sources{
        platform::SampleRejection(""),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nServer: s\r\nDate: today\r\n\r\n",
        "no response"};
    while (true) {
      const auto [failure, size] = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(input), "\r\n\r\n", kAwait);
      if (failure) {
        co_return;
      }
      input.erase(0, size);
      const std::size_t number = expected_;
      received_.push_back(number);
      const planned_exchange& plan = plan_[number];
      const std::string response = ResponseTo(number, plan.how);
      // Stray bytes follow a complete response, so a new connection has none.
      const std::string before =
          std::exchange(is_first, false) ? "" : Join(plan.before, sources);
      const std::string first = before + response;
      co_await asio::async_write(socket, asio::buffer(first), kAwait);
      sources.push_back(response);
      const std::string later = Join(plan.after, sources);
      co_await asio::async_write(socket, asio::buffer(later), kAwait);
    }
  }

  static std::string Join(const std::vector<stray_bytes>& parts,
                          const std::vector<std::string>& sources) {
    std::string bytes;
    for (const stray_bytes& part : parts) {
      const std::string& source = sources[part.source % sources.size()];
      bytes += source.substr(0, source.size() *
                                    static_cast<std::size_t>(part.percent) /
                                    kWholePercent);
    }
    return bytes;
  }

  std::vector<planned_exchange> plan_;
  tcp::acceptor acceptor_;
  std::vector<std::size_t> received_;
  std::size_t expected_ = 0;
};

std::vector<stray_bytes> AnyStrayBytes() {
  std::vector<stray_bytes> parts(
      static_cast<std::size_t>(*rc::gen::inRange(0, 3)));
  for (stray_bytes& part : parts) {
    part.source = static_cast<std::size_t>(*rc::gen::inRange(0, 60));
    const bool whole = *rc::gen::inRange(0, 3) == 0;
    part.percent =
        whole ? kWholePercent : *rc::gen::inRange(0, kWholePercent + 1);
  }
  return parts;
}

std::vector<planned_exchange> AnyPlan() {
  std::vector<planned_exchange> plan(
      static_cast<std::size_t>(*rc::gen::inRange(2, 6)));
  for (planned_exchange& each : plan) {
    each.how =
        *rc::gen::element(treatment::kServed, treatment::kFailed,
                          treatment::kRejected, treatment::kRejectedUnnamed);
    each.idempotent = *rc::gen::arbitrary<bool>();
    each.before = AnyStrayBytes();
    each.after = AnyStrayBytes();
  }
  return plan;
}

exchange_result Send(asio::io_context& io,
                     endpoint_connection_pool& pool,
                     const fleet_endpoint& entry,
                     std::size_t number) {
  exchange_options options;
  options.attempt = "a" + std::to_string(number);
  options.deadline = BootNow() + kTimeLimit;
  options.max_idle_time = seconds(5);
  std::optional<exchange_result> end;
  asio::co_spawn(
      io,
      [&]() -> asio::awaitable<void> {
        end = co_await pool.Send(
            entry, http_request(boost::beast::http::verb::get, "/x", 11),
            options);
      },
      asio::detached);
  io.restart();
  while (!end && io.run_one() > 0) {
  }
  return std::move(*end);
}

bool IsOwn(const exchange_result& exchange, std::size_t number, treatment how) {
  const auto& response = std::get<exchange_answered>(exchange).response;
  const unsigned status = how == treatment::kServed ? 200 : 500;
  return HasRun(how) && response.result_int() == status &&
         response.body() == BodyOf(number);
}

// Guards against callers that are told "not run" for a request that runs, and
// against responses that are relayed to another request's caller.
TEST_CASE("stray bytes prove nothing and are never relayed") {
  const bool holds = rc::check("random stray bytes", [] {
    const std::vector<planned_exchange> plan = AnyPlan();
    asio::io_context io;
    stray_endpoint endpoint(io, plan);
    endpoint_connection_pool pool(io, nullptr);
    for (std::size_t i = 0; i < plan.size(); ++i) {
      endpoint.Expect(i);
      const exchange_result exchange = Send(io, pool, endpoint.entry(), i);
      const attempt_result result = ResultOf(exchange, plan[i].idempotent);
      const bool arrived =
          !endpoint.received().empty() && endpoint.received().back() == i;
      RC_ASSERT(arrived || result != attempt_result::kAnswered);
      if (!plan[i].idempotent && HasRun(plan[i].how) && arrived) {
        RC_ASSERT(result != attempt_result::kNotRun);
      }
      if (arrived) {
        RC_ASSERT(result != attempt_result::kUnsent);
      }
      if (result == attempt_result::kAnswered ||
          result == attempt_result::kFailed) {
        RC_ASSERT(IsOwn(exchange, i, plan[i].how));
      }
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace bluebell
