// The parts of a gateway between a caller's socket and an endpoint's, for tests
// of the whole path.
//
//   endpoint_script script;
//   script.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
//   gateway_path gateway(request_kind::kIdempotent, script);
//   const std::string received = gateway.Call();

#ifndef BLUEBELL_PROXY_INTERNAL_GATEWAY_PATH_H_
#define BLUEBELL_PROXY_INTERNAL_GATEWAY_PATH_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

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

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/byte_budget.h"
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

// What the endpoints send. All of them share the count of requests.
struct endpoint_script {
  static constexpr const char* kGoodBody = "good body";

  // Sent to each request, or to the first one only. The others are served.
  std::string bytes;
  bool first_only = false;
  // The connection ends after `bytes`.
  bool closes = false;
  std::size_t requests = 0;
};

class scripted_endpoint {
 public:
  scripted_endpoint(boost::asio::io_context& io,
                    std::string id,
                    endpoint_script& script)
      : id_(std::move(id)),
        script_(script),
        acceptor_(io,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    boost::asio::co_spawn(io, Accept(), boost::asio::detached);
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
  using tcp = boost::asio::ip::tcp;
  static constexpr auto kAwait =
      boost::asio::as_tuple(boost::asio::use_awaitable);

  boost::asio::awaitable<void> Accept() {
    while (true) {
      auto [failure, socket] = co_await acceptor_.async_accept(kAwait);
      if (failure) {
        co_return;
      }
      boost::asio::co_spawn(acceptor_.get_executor(), Serve(std::move(socket)),
                            boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(tcp::socket socket) {
    std::string input;
    while (true) {
      const auto [failure, size] = co_await boost::asio::async_read_until(
          socket, boost::asio::dynamic_buffer(input), "\r\n\r\n", kAwait);
      if (failure) {
        co_return;
      }
      input.erase(0, size);
      const bool served = ++script_.requests > 1 && script_.first_only;
      const std::string bytes =
          served ? platform::SampleResponse("a1", endpoint_script::kGoodBody)
                 : script_.bytes;
      co_await boost::asio::async_write(socket, boost::asio::buffer(bytes),
                                        kAwait);
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
  // The attempt id of all requests.
  static constexpr const char* kAttempt = "a1";
  // The kernel keeps little of a response that isn't read.
  static constexpr int kSmallSendBufferBytes = 4'096;

  gateway_path(request_kind kind,
               endpoint_script& script,
               std::shared_ptr<byte_budget> response_memory = nullptr)
      : first_(io_, "i-1", script),
        second_(io_, "i-2", script),
        settings_(Settings()),
        peers_(peer_socket::Open(io_, settings_.peer_listen).value()),
        dispatcher_(io_, kSelf, {}, 0, metrics_),
        permits_(io_, kSelf, *peers_, dispatcher_),
        pool_(io_, std::move(response_memory)),
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
        acceptor_(io_,
                  tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    const fleet_view view = View(kind);
    permits_.SetView(view);
    server_.SetView(view);
    dispatcher_.SetView(view, BootNow());
  }

  // The bytes that a caller gets for one request.
  std::string Call() {
    tcp::socket caller(io_);
    Connect(caller);
    std::string received;
    bool ended = false;
    boost::asio::co_spawn(
        io_,
        [&]() -> boost::asio::awaitable<void> {
          const std::string request = RequestBytes();
          co_await boost::asio::async_write(
              caller, boost::asio::buffer(request), kAwait);
          co_await boost::asio::async_read(
              caller, boost::asio::dynamic_buffer(received), kAwait);
          caller.close();
          ended = true;
        },
        boost::asio::detached);
    while (!ended) {
      io_.run_one();
    }
    return received;
  }

  // Sends a request whose response isn't read. The gateway's kernel keeps up to
  // `send_buffer_bytes` of a response.
  boost::asio::ip::tcp::socket CallWithoutReading(
      bool keep_alive = false,
      int send_buffer_bytes = kSmallSendBufferBytes) {
    tcp::socket caller(io_);
    caller.open(tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
    Connect(caller, send_buffer_bytes);
    boost::asio::write(caller, boost::asio::buffer(RequestBytes(keep_alive)));
    return caller;
  }

  static std::string RequestBytes(bool keep_alive = false) {
    std::string request = platform::SampleRequest(kAttempt, "/book/1", 3'000);
    if (keep_alive) {
      request.erase(request.find(kCloseLine), kCloseLine.size());
    }
    return request;
  }

  boost::asio::io_context& io() { return io_; }

 private:
  using tcp = boost::asio::ip::tcp;
  static constexpr auto kAwait =
      boost::asio::as_tuple(boost::asio::use_awaitable);
  inline static const daemon_instance kSelf{daemon_id("front-1"),
                                            incarnation(7)};
  static constexpr std::string_view kCloseLine = "Connection: close\r\n";

  void Connect(tcp::socket& caller,
               int send_buffer_bytes = kSmallSendBufferBytes) {
    caller.connect(acceptor_.local_endpoint());
    tcp::socket accepted = acceptor_.accept();
    accepted.set_option(
        boost::asio::socket_base::send_buffer_size(send_buffer_bytes));
    std::make_shared<caller_connection>(
        std::move(accepted), handler_,
        std::make_shared<shared_connection_state>())
        ->Start();
  }

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

  boost::asio::io_context io_;
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

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_INTERNAL_GATEWAY_PATH_H_
