#include "bluebell/proxy/caller_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/byte_budget.h"
#include "bluebell/http/internal/framing_samples.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Serves each request after the delay of its path, or when it is cancelled.
// Paths that begin with "/safe" are idempotent.
class handler_model {
 public:
  explicit handler_model(asio::io_context& io) : io_(io) {}

  std::shared_ptr<const caller_request_handler> Handler() {
    return std::make_shared<caller_request_handler>(caller_request_handler{
        [this](const http_request& request, instant) { return Serve(request); },
        [](const http_request& request) {
          return request.target().starts_with("/safe");
        }});
  }

  std::map<std::string, milliseconds> delays;
  // Added to the body of each response.
  std::size_t filler_bytes = 0;
  std::vector<std::string> started;
  // The header of the last request.
  boost::beast::http::fields fields;
  std::vector<std::string> bodies;
  std::size_t running = 0;
  std::size_t max_running = 0;
  std::size_t cancelled = 0;

 private:
  asio::awaitable<served_response> Serve(const http_request& request) {
    co_await asio::this_coro::throw_if_cancelled(false);
    const std::string path(request.target().data(), request.target().size());
    started.push_back(path);
    fields = request;
    bodies.push_back(request.body());
    max_running = std::max(max_running, ++running);
    asio::steady_timer timer(io_, delays[path]);
    co_await timer.async_wait(kAwait);
    --running;
    const auto state = co_await asio::this_coro::cancellation_state;
    cancelled += state.cancelled() != asio::cancellation_type::none ? 1 : 0;
    served_response served;
    served.response.version(11);
    served.response.result(200);
    served.response.body() = "for " + path + std::string(filler_bytes, 'x');
    co_return served;
  }

  asio::io_context& io_;
};

// A connection between a test and a caller_connection on one thread.
class connected_caller {
 public:
  explicit connected_caller(
      std::optional<int> receive_buffer_bytes = std::nullopt)
      : handler(io), socket(io) {
    tcp::acceptor acceptor(io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    socket.open(tcp::v4());
    if (receive_buffer_bytes) {
      socket.set_option(
          asio::socket_base::receive_buffer_size(*receive_buffer_bytes));
    }
    socket.connect(acceptor.local_endpoint());
    connection = std::make_shared<caller_connection>(acceptor.accept(),
                                                     handler.Handler(), state);
    connection->Start();
  }

  void Send(const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
  }
  void SendRequest(const std::string& path, const std::string& headers = "") {
    Send("GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n");
  }
  // Runs until `condition` is true. False after two seconds.
  bool RunUntil(const std::function<bool()>& condition) {
    const instant end = BootNow() + seconds(2);
    io.restart();
    while (!condition() && BootNow() < end) {
      io.run_one_for(milliseconds(5));
      ReadAvailable();
    }
    return condition();
  }
  // The bodies that were received, in order.
  std::string Bodies() const {
    std::string bodies;
    std::size_t at = 0;
    while ((at = received.find("for /", at)) != std::string::npos) {
      const std::size_t end = received.find("HTTP/1.1", at);
      bodies += received.substr(
          at + 4, end == std::string::npos ? std::string::npos : end - at - 4);
      at += 4;
    }
    return bodies;
  }

  asio::io_context io;
  handler_model handler;
  std::shared_ptr<shared_connection_state> state =
      std::make_shared<shared_connection_state>();
  tcp::socket socket;
  std::shared_ptr<caller_connection> connection;
  std::string received;
  bool closed = false;

 private:
  void ReadAvailable() {
    boost::system::error_code failure;
    socket.non_blocking(true, failure);
    std::string buffer(65'536, ' ');
    const std::size_t size =
        socket.read_some(asio::buffer(buffer.data(), buffer.size()), failure);
    received.append(buffer, 0, size);
    closed = closed || (failure && failure != asio::error::would_block);
  }
};

// Guards against a caller that gets an answer to another request.
TEST_CASE("pipelined requests are served side by side, answered in order") {
  connected_caller caller;
  caller.handler.delays["/safe/1"] = milliseconds(60);
  caller.SendRequest("/safe/1");
  caller.SendRequest("/safe/2");
  caller.SendRequest("/safe/3");
  CHECK(caller.RunUntil(
      [&] { return caller.Bodies() == "/safe/1/safe/2/safe/3"; }));
  CHECK(caller.handler.max_running == 3);
  CHECK(!caller.closed);
}

TEST_CASE("a non-idempotent request is served alone") {
  connected_caller caller;
  caller.handler.delays["/safe/1"] = milliseconds(40);
  caller.SendRequest("/safe/1");
  caller.SendRequest("/book/2");
  CHECK(caller.RunUntil([&] { return caller.Bodies() == "/safe/1/book/2"; }));
  CHECK(caller.handler.max_running == 1);
}

// Guards against a request that runs although its caller sends it again.
TEST_CASE("nothing behind a closing response is served") {
  connected_caller caller;
  caller.handler.delays["/safe/1"] = milliseconds(40);
  SECTION("the caller asks to close") {
    caller.SendRequest("/safe/1", "Connection: close\r\n");
  }
  SECTION("the daemon stops") {
    caller.SendRequest("/safe/1");
    REQUIRE(caller.RunUntil([&] { return caller.handler.running == 1; }));
    caller.state->stopping = true;
  }
  caller.SendRequest("/safe/2");
  caller.SendRequest("/book/3");
  CHECK(caller.RunUntil([&] { return caller.closed; }));
  CHECK(caller.Bodies() == "/safe/1");
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  CHECK(caller.handler.started.size() == 1);
}

TEST_CASE("a malformed request closes after the answers before it") {
  connected_caller caller;
  caller.handler.delays["/safe/1"] = milliseconds(40);
  caller.SendRequest("/safe/1");
  caller.Send("no request\r\n\r\n");
  CHECK(caller.RunUntil([&] { return caller.closed; }));
  CHECK(caller.Bodies() == "/safe/1");
  CHECK(caller.received.find("400 Bad Request") > caller.received.find("200"));
}

// Guards against work for a caller that has left, also if it had sent more than
// was read.
TEST_CASE("a caller that leaves ends all its requests") {
  connected_caller caller;
  caller.handler.delays["/safe/1"] = seconds(30);
  caller.handler.delays["/safe/2"] = seconds(30);
  caller.SendRequest("/safe/1");
  caller.SendRequest("/safe/2");
  caller.SendRequest("/book/3");
  std::size_t more = 0;
  SECTION("nothing more was sent") {}
  SECTION("more was sent than is read ahead") {
    more = 90'000;
  }
  REQUIRE(caller.RunUntil([&] { return caller.handler.running == 2; }));
  caller.Send(std::string(more, 'x'));
  caller.socket.shutdown(tcp::socket::shutdown_send);
  const instant left = BootNow();
  CHECK(caller.RunUntil([&] { return caller.handler.cancelled == 2; }));
  CHECK(BootNow() - left < milliseconds(500));
  CHECK(caller.handler.started.size() == 2);
}

// Guards against requests that are cut off because the process ends as soon as
// they are served.
TEST_CASE("a connection is busy until its last response is delivered") {
  connected_caller caller;
  caller.handler.delays["/safe/1"] = milliseconds(20);
  caller.SendRequest("/safe/1");
  REQUIRE(caller.RunUntil([&] { return caller.handler.running == 1; }));
  caller.state->stopping = true;
  CHECK(caller.state->busy_count == 1);
  REQUIRE(caller.RunUntil([&] { return caller.closed; }));
  CHECK(caller.state->busy_count == 1);
  caller.socket.close();
  CHECK(caller.RunUntil([&] { return caller.state->busy_count == 0; }));
}

TEST_CASE("a stop doesn't close a connection with an unread request") {
  connected_caller caller;
  caller.io.run_for(milliseconds(20));
  caller.SendRequest("/safe/1");
  caller.state->stopping = true;
  caller.connection->CloseIfIdle();
  CHECK(caller.RunUntil([&] { return caller.Bodies() == "/safe/1"; }));
  connected_caller idle;
  idle.io.run_for(milliseconds(20));
  idle.connection->CloseIfIdle();
  CHECK(idle.RunUntil([&] { return idle.closed; }));
}

// Failure: a daemon that stops counts a connection as idle although its caller
// has yet to read a response that the kernel holds, and cuts it off.
TEST_CASE("a stop waits for a caller that reads its response late") {
  constexpr int kReceiveBufferBytes = 4'096;
  connected_caller caller(kReceiveBufferBytes);
  caller.handler.filler_bytes = 9'000;
  caller.SendRequest("/safe/1");
  caller.io.run_for(milliseconds(200));
  CHECK(caller.handler.started.size() == 1);
  caller.state->stopping = true;
  caller.connection->CloseIfIdle();
  caller.io.run_for(milliseconds(3'500));
  CHECK(caller.state->busy_count == 1);
  CHECK(caller.RunUntil([&] { return caller.closed; }));
  CHECK(
      caller.received.ends_with(std::string(caller.handler.filler_bytes, 'x')));
  CHECK(caller.state->busy_count == 0);
}

// Guards against memory that large or endless requests use up.
TEST_CASE("requests beyond the limits are refused") {
  connected_caller caller;
  caller.state->bounds.max_body_bytes = 100'000;
  std::string head = "POST /book/1 HTTP/1.1\r\nHost: a\r\n";
  std::string status;
  SECTION("a body that exceeds the memory of all requests") {
    caller.state->request_memory = std::make_shared<byte_budget>(50'000);
    caller.Send(head + "Content-Length: 90000\r\n\r\n");
    status = "503 Service Unavailable";
  }
  SECTION("headers that exceed the memory of all requests") {
    caller.state->request_memory = std::make_shared<byte_budget>(1'000);
    caller.Send(head + "X-Filler: " + std::string(2'000, 'x') + "\r\n\r\n");
    status = "503 Service Unavailable";
  }
  SECTION("a body above the limit") {
    caller.Send(head + "Content-Length: 100001\r\n\r\n");
    status = "413 ";
  }
  SECTION("a header without end") {
    std::string filler;
    while (filler.size() < 100'000) {
      filler += "X-Filler: 0123456789\r\n";
    }
    caller.Send(head + filler);
    status = "431 ";
  }
  CHECK(caller.RunUntil(
      [&] { return caller.received.find(status) != std::string::npos; }));
  CHECK(caller.handler.started.empty());
}

// Guards against a body that is passed on as a request of its own: its end has
// more than one reading, and another reader on the way sees another one.
TEST_CASE("only framings with one reading are taken from callers") {
  const std::string inner = "GET /safe/inner HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const framing_sample& sample : FramingSamples()) {
    if (sample.request_status == kNoRequest) {
      continue;
    }
    connected_caller caller;
    caller.Send(RequestBytes(sample, "/safe/outer") + inner);
    const bool taken = sample.request_status == kTakenStatus;
    const bool stays_open = taken && sample.version != "1.0";
    std::vector<std::string> started;
    std::vector<std::string> bodies;
    if (taken) {
      started.emplace_back("/safe/outer");
      bodies.emplace_back(sample.body);
    }
    if (stays_open) {
      started.emplace_back("/safe/inner");
      bodies.emplace_back();
    }
    CAPTURE(sample.name);
    CHECK(caller.RunUntil([&] {
      return stays_open ? caller.Bodies() == "/safe/outer/safe/inner"
                        : caller.closed;
    }));
    CHECK(caller.received.find("HTTP/1.1 " +
                               std::to_string(sample.request_status)) == 0);
    CHECK(caller.handler.started == started);
    CHECK(caller.handler.bodies == bodies);
  }
}

// Guards against an attempt id or a key that a caller sets in a trailer.
TEST_CASE("trailers are not passed on") {
  connected_caller caller;
  caller.SendRequest("/safe/1", "Transfer-Encoding: chunked\r\n");
  caller.Send("1\r\nx\r\n0\r\nLate: 1\r\n\r\n");
  CHECK(caller.RunUntil([&] { return !caller.handler.started.empty(); }));
  CHECK(caller.handler.fields.count("Late") == 0);
  CHECK(caller.handler.fields.count("Host") == 1);
}

TEST_CASE("trailers and chunk extensions without end are refused") {
  connected_caller caller;
  caller.state->bounds.max_body_bytes = 100'000;
  std::string body = GENERATE(std::string("0\r\n"), std::string("1;name="));
  const std::string part =
      body.back() == '=' ? "0123456789" : "X-Filler: 0123456789\r\n";
  while (body.size() < 900'000) {
    body += part;
  }
  caller.socket.non_blocking(true);
  caller.SendRequest("/book/1", "Transfer-Encoding: chunked\r\n");
  std::size_t sent = 0;
  CHECK(caller.RunUntil([&] {
    boost::system::error_code ignored;
    sent += caller.socket.write_some(
        asio::buffer(body.data() + sent, body.size() - sent), ignored);
    return caller.closed;
  }));
  CHECK(caller.handler.started.empty());
}

}  // namespace
}  // namespace bluebell
