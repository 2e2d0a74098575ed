#include "bluebell/gateway/role_lease.h"

#include <algorithm>
#include <cstddef>
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/gateway/store_watcher.h"
#include "bluebell/http/internal/response_script.h"
#include "bluebell/kv/kv_client.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;

std::string Response(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

const std::string kLeaseStarted =
    Response("200 OK", R"({"Lease":7,"TtlS_time":1.2})");
const std::string kClaimWritten = Response("200 OK", R"({"Revision":5})");
const std::string kDone = Response("200 OK", "{}");
const std::string kNoSuchLease = Response("404 Not Found", "");
const std::string kTooManyCalls = Response("429 Too Many Requests", "");

// A lease at a store that answers its calls with the given responses, in order,
// and then with the last of them.
class leased_role {
 public:
  explicit leased_role(std::vector<std::string> responses)
      : responses_(std::move(responses)),
        server_(io_,
                [this](std::vector<std::string>& /*sent*/) {
                  return responses_[std::min(calls_++, responses_.size() - 1)];
                }),
        store_(kv_client::Make(io_, server_.where()).value()),
        watcher_(io_,
                 *store_,
                 fleet_decoders{"endpoints/", "config", nullptr, nullptr,
                                "config", ""},
                 watcher_handlers{}),
        lease_({daemon_id("front-1"), incarnation(1)}, *store_, watcher_) {}

  claim_outcome Claim() { return Run(lease_.Claim({}, {})); }
  claim_outcome Renew() { return Run(lease_.Renew({})); }
  bool End() { return Run(lease_.End()); }
  void EndAndWithdraw() { Run(RunEndAndWithdraw()); }
  std::size_t calls() const { return calls_; }

 private:
  template <typename T>
  T Run(asio::awaitable<T> task) {
    std::optional<T> outcome;
    asio::co_spawn(io_, std::move(task),
                   [&](const std::exception_ptr& /*failure*/, T value) {
                     outcome = value;
                   });
    io_.restart();
    while (!outcome && io_.run_one() > 0) {
    }
    return outcome.value();
  }

  asio::awaitable<bool> RunEndAndWithdraw() {
    co_await lease_.EndAndWithdraw({});
    co_return true;
  }

  asio::io_context io_;
  std::vector<std::string> responses_;
  std::size_t calls_ = 0;
  response_script server_;
  std::unique_ptr<kv_client> store_;
  store_watcher watcher_;
  role_lease lease_;
};

// Failure: a daemon that leaves ends its lease while a renewal is on its way.
// The store answers that the lease has ended, and the daemon claims the role
// again, which keeps its successor from claiming it.
TEST_CASE("a lease that was ended isn't claimed again") {
  leased_role role({kLeaseStarted, kClaimWritten, kDone, kNoSuchLease,
                    kLeaseStarted, kClaimWritten});
  REQUIRE(role.Claim() == claim_outcome::kClaimed);
  REQUIRE(role.End());
  CHECK(role.Renew() == claim_outcome::kLost);
  CHECK(role.calls() == 4);
}

// Failure: a lease that expired by itself isn't claimed again, and the keys
// have no coordinator until another daemon claims the role.
TEST_CASE("a lease that expired is claimed again") {
  leased_role role({kLeaseStarted, kClaimWritten, kNoSuchLease, kLeaseStarted,
                    kClaimWritten});
  REQUIRE(role.Claim() == claim_outcome::kClaimed);
  CHECK(role.Renew() == claim_outcome::kClaimed);
  CHECK(role.calls() == 5);
}

// Failure: the store refuses the call that ends the lease, and the daemon stops
// as if the role were vacant.
TEST_CASE("a refused end of the lease doesn't count as confirmed") {
  leased_role role({kLeaseStarted, kClaimWritten, kTooManyCalls, kDone});
  REQUIRE(role.Claim() == claim_outcome::kClaimed);
  CHECK(!role.End());
  CHECK(role.End());
}

// Failure: the lease has expired before the call that ends it, and the daemon
// repeats the call until its shutdown time is over.
TEST_CASE("the end of a lease that has expired counts as confirmed") {
  leased_role role({kLeaseStarted, kClaimWritten, kNoSuchLease});
  REQUIRE(role.Claim() == claim_outcome::kClaimed);
  CHECK(role.End());
}

// Failure: a coordinator that resigns ends its process, or stays in the history
// although it sends no more orders.
TEST_CASE("a coordinator that resigns leaves the history") {
  leased_role role({kLeaseStarted, kClaimWritten, kDone, kClaimWritten});
  REQUIRE(role.Claim() == claim_outcome::kClaimed);
  role.EndAndWithdraw();
  CHECK(role.calls() == 4);
}

// Failure: a coordinator whose lease may still be held leaves the history, and
// its successor doesn't wait for its orders.
TEST_CASE("a coordinator whose lease hasn't ended stays in the history") {
  leased_role role({kLeaseStarted, kClaimWritten, kTooManyCalls});
  REQUIRE(role.Claim() == claim_outcome::kClaimed);
  role.EndAndWithdraw();
  CHECK(role.calls() == 3);
}

}  // namespace
}  // namespace bluebell
