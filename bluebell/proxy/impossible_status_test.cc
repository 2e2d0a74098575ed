// Responses with an impossible status line, from the socket of an endpoint to
// the socket of a caller.

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/http/internal/impossible_responses.h"
#include "bluebell/net/socket_address.h"
#include "bluebell/permits/slot_scheduler.h"
#include "bluebell/proxy/caller_connection.h"
#include "bluebell/proxy/endpoint_connection_pool.h"
#include "bluebell/proxy/peer_socket.h"
#include "bluebell/proxy/permit_client.h"
#include "bluebell/proxy/permit_dispatcher.h"
#include "bluebell/proxy/request_server.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "platform/wire_samples.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
const std::string kAttempt = "a1";
const std::string kBadBody = "bad body";
const std::string kGoodBody = "good body";

// What the endpoints send. All of them share the count of requests.
struct endpoint_script {
  // Sent to each request, or to the first one only. The others are served.
  std::string bytes;
  bool first_only = false;
  // The connection ends after `bytes`.
  bool closes = false;
  std::size_t requests = 0;
};

class scripted_endpoint {
 public:
  scripted_endpoint(asio::io_context& io,
                    std::string id,
                    endpoint_script& script)
      : id_(std::move(id)),
        script_(script),
        acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    asio::co_spawn(io, Accept(), asio::detached);
  }

  fleet_endpoint entry() const {
    fleet_endpoint entry;
    entry.instance = {endpoint_id(id_), incarnation(1)};
    entry.service = service_name("booker");
    entry.domain = domain_name("zone-a");
    entry.where = FromSocketAddress(acceptor_.local_endpoint());
    entry.slots = 1;
    return entry;
  }

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
    while (true) {
      const auto [failure, size] = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(input), "\r\n\r\n", kAwait);
      if (failure) {
        co_return;
      }
      input.erase(0, size);
      const bool served = ++script_.requests > 1 && script_.first_only;
      const std::string bytes =
          served ? platform::SampleResponse(kAttempt, kGoodBody)
                 : script_.bytes;
      co_await asio::async_write(socket, asio::buffer(bytes), kAwait);
      if (!served && script_.closes) {
        co_return;
      }
    }
  }

  std::string id_;
  endpoint_script& script_;
  tcp::acceptor acceptor_;
};

// The parts of a gateway that a request passes through, in front of two
// endpoints with one slot each.
class gateway_path {
 public:
  gateway_path(request_kind kind, endpoint_script& script)
      : first_(io_, "i-1", script),
        second_(io_, "i-2", script),
        settings_(Settings()),
        peers_(peer_socket::Open(io_, settings_.peer_listen).value()),
        dispatcher_(io_),
        permits_(io_, kSelf, *peers_, dispatcher_),
        pool_(io_, nullptr),
        server_(settings_,
                permits_,
                pool_,
                metrics_,
                [](const service_name&, const endpoint_instance&) {}),
        handler_(
            std::make_shared<caller_request_handler>(caller_request_handler{
                [this](const http_request& request, instant arrived) {
                  return server_.Serve(request, arrived);
                },
                [this](const http_request& request) {
                  return server_.IsIdempotent(request);
                }})),
        acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)) {
    const fleet_view view = View(kind);
    permits_.SetView(view);
    server_.SetView(view);
    dispatcher_.SetView(view, BootNow());
  }

  // The bytes that a caller gets for one request.
  std::string Call() {
    tcp::socket caller(io_);
    caller.connect(acceptor_.local_endpoint());
    std::make_shared<caller_connection>(
        acceptor_.accept(), handler_,
        std::make_shared<shared_connection_state>())
        ->Start();
    std::string received;
    bool ended = false;
    asio::co_spawn(
        io_,
        [&]() -> asio::awaitable<void> {
          const std::string request =
              "POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " + kAttempt +
              "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n"
              "Connection: close\r\n\r\n";
          co_await asio::async_write(caller, asio::buffer(request), kAwait);
          co_await asio::async_read(caller, asio::dynamic_buffer(received),
                                    kAwait);
          caller.close();
          ended = true;
        },
        asio::detached);
    while (!ended) {
      io_.run_one();
    }
    return received;
  }

 private:
  static const daemon_instance kSelf;

  static gateway_settings Settings() {
    gateway_settings settings;
    settings.id = kSelf.id;
    settings.domain = domain_name("zone-a");
    settings.peer_listen = address::Parse("127.0.0.1:0").value();
    return settings;
  }

  fleet_view View(request_kind kind) const {
    service_route route;
    route.name = "book";
    route.host = "h";
    route.prefix = "/book/";
    route.kind = kind;
    route.timeout = seconds(3);
    route.target_latency = seconds(1);
    route.max_attempts = 2;
    route.shares = {{service_name("booker"), 1}};
    auto view = std::make_shared<fleet_snapshot>();
    view->config = std::make_shared<const route_config>(
        route_config::Make(config_version(1), {route},
                           {{service_name("booker"), false, 64}}, {})
            .value());
    for (const scripted_endpoint* each : {&first_, &second_}) {
      view->endpoints[each->entry().instance.endpoint] = each->entry();
    }
    view->members[kSelf.id] = {kSelf, settings_.domain, settings_.peer_listen,
                               1'000, false};
    view->coordinator = kSelf;
    return view;
  }

  asio::io_context io_;
  scripted_endpoint first_;
  scripted_endpoint second_;
  gateway_settings settings_;
  metrics_registry metrics_;
  std::unique_ptr<peer_socket> peers_;
  permit_dispatcher dispatcher_;
  permit_client permits_;
  endpoint_connection_pool pool_;
  request_server server_;
  std::shared_ptr<const caller_request_handler> handler_;
  tcp::acceptor acceptor_;
};

const daemon_instance gateway_path::kSelf{daemon_id("front-1"), incarnation(7)};

const std::string kFields =
    "X-Attempt-Id: " + kAttempt + "\r\nX-Server-Signature: s\r\n";

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
