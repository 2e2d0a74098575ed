#include "bluebell/proxy/traffic_server.h"

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/keyspace/key_table.h"
#include "bluebell/keyspace/unserved_range.h"
#include "bluebell/settings/gateway_settings.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "testing/header_text.h"
#include "testing/http_call.h"
#include "testing/http_server.h"
#include "testing/run_after.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

constexpr int kHttp11 = 11;
constexpr unsigned kOk = 200;
constexpr unsigned kServerError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr milliseconds kGrace{2'400};
// The work of a request at the endpoint, which has one slot.
constexpr milliseconds kWork{300};
// More than the endpoint can run within the grace.
constexpr std::size_t kRequests = 16;
constexpr milliseconds kCallerLimit{8'000};

address FreeAddress() {
  asio::io_context io;
  const tcp::acceptor acceptor(
      io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return address::Parse("127.0.0.1:" +
                        std::to_string(acceptor.local_endpoint().port()))
      .value();
}

// An endpoint with one slot that takes kWork for each request.
class slow_endpoint {
 public:
  slow_endpoint()
      : where_(FreeAddress()),
        work_guard_(asio::make_work_guard(io_)),
        server_(http_server::Start(io_,
                                   {where_},
                                   [this](const http_request& request,
                                          const http_responder& respond) {
                                     Serve(request, respond);
                                   })
                    .value()),
        thread_([this] { io_.run(); }) {}
  slow_endpoint(const slow_endpoint&) = delete;
  slow_endpoint& operator=(const slow_endpoint&) = delete;
  ~slow_endpoint() {
    io_.stop();
    thread_.join();
  }

  fleet_endpoint entry() const {
    fleet_endpoint entry;
    entry.instance = {endpoint_id("i-1"), incarnation(1)};
    entry.service = service_name("booker");
    entry.domain = domain_name("zone-a");
    entry.where = where_;
    entry.slots = 1;
    return entry;
  }
  // The next request fails after its work.
  void FailNext() {
    const std::lock_guard lock(mutex_);
    fails_next_ = true;
  }
  // The number of times that the attempt began to run.
  int RunsOf(const std::string& attempt) {
    const std::lock_guard lock(mutex_);
    return runs_[attempt];
  }

 private:
  void Serve(const http_request& request, const http_responder& respond) {
    const std::string attempt = HeaderText(request, "X-Attempt-Id");
    unsigned status = kOk;
    {
      const std::lock_guard lock(mutex_);
      ++runs_[attempt];
      status = std::exchange(fails_next_, false) ? kServerError : kOk;
    }
    RunAfter(io_, kWork, [attempt, respond, status] {
      http_response response(bhttp::int_to_status(status), kHttp11);
      response.set("X-Attempt-Id", attempt);
      response.set("X-Server-Signature", "signature");
      respond(response);
    });
  }

  address where_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_guard_;
  std::mutex mutex_;
  std::map<std::string, int> runs_;
  bool fails_next_ = false;
  std::shared_ptr<http_server> server_;
  std::thread thread_;
};

// A traffic server in front of one slow endpoint.
class daemon_fixture {
 public:
  explicit daemon_fixture(request_kind kind, bool keyed = false)
      : kind_(kind), keyed_(keyed) {
    settings_.id = self_.id;
    settings_.domain = domain_name("zone-a");
    settings_.caller_listen = FreeAddress();
    settings_.ready_listen = FreeAddress();
    settings_.peer_listen = FreeAddress();
    settings_.metrics_listen = FreeAddress();
    settings_.shutdown_grace = kGrace;
    traffic_ = std::move(
        traffic_server::Start(settings_, self_, metrics_, {}).value());
    traffic_->Publish(View(key_table()));
  }

  // Publishes `table` as the key table of the service.
  void Publish(const key_table& table) { traffic_->Publish(View(table)); }
  // Whether all keys are on their way to another owner.
  void SetMoving(bool moving) {
    std::vector<unserved_range> unserved;
    if (moving) {
      unserved.push_back({key_range(), BootNow() + kWork});
    }
    traffic_->SetUnservedRanges(service_name("booker"), unserved);
  }

  // Sends a request from a caller of its own, which leaves after `patience`.
  std::future<unsigned> Send(const std::string& attempt,
                             milliseconds patience = kCallerLimit) {
    return std::async(std::launch::async, [this, attempt, patience] {
      http_request request(bhttp::verb::post, "/book/" + attempt, kHttp11);
      request.set("X-Attempt-Id", attempt);
      request.set("X-Deadline-Ms", std::to_string(kCallerLimit.count()));
      request.set("X-Shard-Key", "7");
      request.prepare_payload();
      const auto response =
          HttpCall(settings_.caller_listen, request, patience);
      return response ? response.value().result_int() : 0U;
    });
  }

  void BeginShutdown() {
    traffic_->BeginShutdown(shutdown_window::Begin(BootNow(), kGrace));
  }
  // Ends the process's traffic, like the exit at the end of the grace.
  void Exit() { traffic_.reset(); }

  slow_endpoint& endpoint() { return endpoint_; }
  std::string Metrics() const { return metrics_.Expose(); }

 private:
  fleet_view View(const key_table& table) const {
    service_route route;
    route.name = "book";
    route.host = "127.0.0.1";
    route.prefix = "/book/";
    route.kind = kind_;
    route.timeout = kCallerLimit;
    route.target_latency = 3 * kWork;
    route.max_attempts = 2;
    route.shares = {{service_name("booker"), 1}};
    auto view = std::make_shared<fleet_snapshot>();
    view->config = std::make_shared<const route_config>(
        route_config::Make(config_version(1), {route},
                           {{service_name("booker"), keyed_, 64}}, {})
            .value());
    view->endpoints[endpoint_id("i-1")] = endpoint_.entry();
    view->members[self_.id] = {self_, settings_.domain, settings_.peer_listen,
                               1'000, false};
    view->coordinator = self_;
    view->tables[service_name("booker")] = table;
    return view;
  }

  request_kind kind_;
  bool keyed_;
  daemon_instance self_{daemon_id("front-1"), incarnation(7)};
  slow_endpoint endpoint_;
  gateway_settings settings_;
  metrics_registry metrics_;
  std::unique_ptr<traffic_server> traffic_;
};

// Guards against a planned stop that drops requests which wait for a slot, or
// sends them to an endpoint too late for an answer.
TEST_CASE("a planned stop answers the requests that wait for a slot") {
  const request_kind kind =
      GENERATE(request_kind::kIdempotent, request_kind::kNonIdempotent);
  daemon_fixture daemon(kind);
  std::vector<std::future<unsigned>> answers;
  for (std::size_t i = 0; i < kRequests; ++i) {
    answers.push_back(daemon.Send("r" + std::to_string(i)));
  }
  std::this_thread::sleep_for(milliseconds(400));
  daemon.BeginShutdown();
  std::this_thread::sleep_for(kGrace);
  daemon.Exit();
  int served = 0;
  int refused = 0;
  for (std::size_t i = 0; i < kRequests; ++i) {
    const unsigned status = answers[i].get();
    INFO("request " << i << " status " << status);
    served += status == kOk ? 1 : 0;
    refused += status == kUnavailable ? 1 : 0;
    CHECK((status == kOk || status == kUnavailable));
    const bool has_run = daemon.endpoint().RunsOf("r" + std::to_string(i)) > 0;
    CHECK(has_run == (status == kOk));
  }
  CHECK(served > 1);
  CHECK(refused > 0);
}

// Guards against logs and metrics that show a refusal, which promises "not
// run", for a request that was sent to an endpoint.
TEST_CASE("a request whose caller left after it was sent isn't refused") {
  daemon_fixture daemon(request_kind::kNonIdempotent);
  // Until the view is in use.
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(daemon.Send("left", kWork / 2).get() == 0);
  std::this_thread::sleep_for(kWork);
  CHECK(daemon.endpoint().RunsOf("left") == 1);
  const std::string metrics = daemon.Metrics();
  CHECK(metrics.find("outcome=\"503\"") == std::string::npos);
  CHECK(metrics.find("outcome=\"502\"") != std::string::npos);
}

// Guards against a request that arrives late in the grace and is sent to an
// endpoint that can't answer it before the process exits.
TEST_CASE("a request that arrives late in a planned stop is refused unsent") {
  const request_kind kind =
      GENERATE(request_kind::kIdempotent, request_kind::kNonIdempotent);
  daemon_fixture daemon(kind);
  // Until the view is in use.
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(daemon.Send("early").get() == kOk);
  daemon.BeginShutdown();
  // The process exits before an answer could be there.
  std::this_thread::sleep_for(kGrace - kWork - milliseconds(200));
  std::future<unsigned> late = daemon.Send("late");
  std::this_thread::sleep_for(kWork);
  daemon.Exit();
  CHECK(late.get() == kUnavailable);
  CHECK(daemon.endpoint().RunsOf("late") == 0);
}

// Guards against an attempt that runs twice at one endpoint, before and after
// another endpoint owned its key: the endpoint then seems to work on the
// request throughout the other one's ownership.
TEST_CASE("no retry runs at an owner that lost its key since the attempt") {
  daemon_fixture daemon(request_kind::kIdempotent, true);
  const endpoint_instance owner = daemon.endpoint().entry().instance;
  const endpoint_instance other{endpoint_id("i-2"), incarnation(1)};
  const key_table first = key_table().With(key_range(), owner);
  daemon.Publish(first);
  // Until the view is in use.
  std::this_thread::sleep_for(milliseconds(100));
  daemon.endpoint().FailNext();
  std::future<unsigned> status = daemon.Send("failed");
  std::this_thread::sleep_for(kWork / 2);
  daemon.SetMoving(true);
  std::this_thread::sleep_for(kWork);
  daemon.Publish(first.With(key_range(), other).With(key_range(), owner));
  daemon.SetMoving(false);
  CHECK(status.get() == kBadGateway);
  CHECK(daemon.endpoint().RunsOf("failed") == 1);
}

// Guards against requests that fail although their owner, which has had the key
// all the time, can run them again.
TEST_CASE("a retry runs at an owner that has kept its key") {
  daemon_fixture daemon(request_kind::kIdempotent, true);
  daemon.Publish(
      key_table().With(key_range(), daemon.endpoint().entry().instance));
  // Until the view is in use.
  std::this_thread::sleep_for(milliseconds(100));
  daemon.endpoint().FailNext();
  CHECK(daemon.Send("failed").get() == kOk);
  CHECK(daemon.endpoint().RunsOf("failed") == 2);
}

}  // namespace
}  // namespace bluebell
