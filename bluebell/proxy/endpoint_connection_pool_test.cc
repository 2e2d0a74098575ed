#include "bluebell/proxy/endpoint_connection_pool.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/byte_budget.h"
#include "bluebell/http/internal/framing_samples.h"
#include "bluebell/proxy/attempt_result.h"
#include "platform/wire_samples.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using platform::SampleCodedResponse;
using platform::SampleFailure;
using platform::SampleRejection;
using platform::SampleResponse;

// A test endpoint that answers each request with the next script and counts
// connections and requests. Each connection has a thread of its own. It closes
// the connection after an empty script or one without Content-Length, or after
// any if `always_closes` is true; by a reset if `resets` is true.
class scripted_server {
 public:
  explicit scripted_server(std::vector<std::string> scripts,
                           bool resets = false,
                           bool always_closes = false)
      : scripts_(std::move(scripts)),
        resets_(resets),
        always_closes_(always_closes),
        acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        thread_([this] { Accept(); }) {}
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;
  ~scripted_server() {
    stopping_ = true;
    boost::system::error_code ignored;
    tcp::socket wake(io_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
    for (const auto& each : sockets_) {
      each->shutdown(tcp::socket::shutdown_both, ignored);
    }
    for (std::thread& each : connection_threads_) {
      each.join();
    }
  }

  // From now on, a further copy of a connection's last response precedes the
  // next one on it.
  void RepeatResponses() { repeats_ = true; }
  // These bytes precede each response but the first on a connection. Call it
  // before the first request.
  void PrecedeLaterResponses(std::string bytes) {
    extra_bytes_ = std::move(bytes);
  }

  fleet_endpoint entry() {
    fleet_endpoint entry;
    entry.instance = {endpoint_id("i-1"), incarnation(1)};
    entry.where =
        address::Parse("127.0.0.1:" +
                       std::to_string(acceptor_.local_endpoint().port()))
            .value();
    return entry;
  }
  int connections() const { return connections_; }
  int requests() const { return requests_; }

 private:
  void Accept() {
    while (!stopping_) {
      boost::system::error_code failure;
      const auto socket = std::make_shared<tcp::socket>(io_);
      acceptor_.accept(*socket, failure);
      if (failure || stopping_) {
        return;
      }
      ++connections_;
      sockets_.push_back(socket);
      connection_threads_.emplace_back([this, socket] { Serve(*socket); });
    }
  }

  void Serve(tcp::socket& socket) {
    boost::system::error_code failure;
    std::string received;
    std::string last;
    while (!failure) {
      const std::size_t size = asio::read_until(
          socket, asio::dynamic_buffer(received), "\r\n\r\n", failure);
      if (failure) {
        break;
      }
      received.erase(0, size);
      const auto number = static_cast<std::size_t>(requests_++);
      if (number >= scripts_.size()) {
        break;
      }
      const std::string& script = scripts_[number];
      std::string bytes = last.empty() ? "" : extra_bytes_;
      if (repeats_) {
        bytes += last;
      }
      bytes += script;
      asio::write(socket, asio::buffer(bytes), failure);
      last = script;
      const bool closes = always_closes_ || script.empty() ||
                          script.find("Content-Length") == std::string::npos;
      if (closes) {
        break;
      }
    }
    boost::system::error_code ignored;
    if (resets_) {
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      // The destructor of the socket would close the connection in order.
      socket.close(ignored);
    } else {
      socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
  }

  std::vector<std::string> scripts_;
  std::string extra_bytes_;
  bool resets_;
  bool always_closes_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::atomic<bool> stopping_ = false;
  std::atomic<bool> repeats_ = false;
  std::atomic<int> connections_ = 0;
  std::atomic<int> requests_ = 0;
  // Used by the accepting thread, and after its end.
  std::vector<std::shared_ptr<tcp::socket>> sockets_;
  std::vector<std::thread> connection_threads_;
  std::thread thread_;
};

struct client {
  explicit client(std::shared_ptr<byte_budget> memory = nullptr)
      : connection_pool(io, std::move(memory)) {}

  exchange_result Send(const fleet_endpoint& entry,
                       const std::string& attempt,
                       std::optional<milliseconds> abandon_after = std::nullopt,
                       std::optional<instant> send_by = std::nullopt) {
    http_request request(boost::beast::http::verb::get, "/x", 11);
    exchange_options options;
    options.attempt = attempt;
    options.deadline = BootNow() + seconds(2);
    options.max_idle_time = seconds(5);
    options.send_by = send_by;
    if (abandon_after) {
      options.abandon_check_at = BootNow() + *abandon_after;
      options.may_abandon = [] { return true; };
    }
    std::optional<exchange_result> end;
    asio::co_spawn(
        io,
        [&]() -> asio::awaitable<void> {
          end = co_await connection_pool.Send(entry, request, options);
        },
        asio::detached);
    io.restart();
    while (!end && io.run_one() > 0) {
    }
    return std::move(*end);
  }

  asio::io_context io;
  endpoint_connection_pool connection_pool;
};

std::string BodyOf(const exchange_result& end) {
  const auto* answered = std::get_if<exchange_answered>(&end);
  return answered == nullptr ? "" : answered->response.body();
}

TEST_CASE("a connection is reused for the next request") {
  scripted_server server(
      {SampleResponse("1", "one"), SampleResponse("2", "two")});
  client caller;
  CHECK(BodyOf(caller.Send(server.entry(), "1")) == "one");
  CHECK(BodyOf(caller.Send(server.entry(), "2")) == "two");
  CHECK(caller.connection_pool.opened_count() == 1);
}

// Guards against a request to a cold endpoint that is sent after the time of
// its permit, because connecting took long.
TEST_CASE("a request isn't sent after the time of its permit") {
  scripted_server server({SampleResponse("1", "one")});
  client caller;
  const exchange_result late =
      caller.Send(server.entry(), "1", std::nullopt, BootNow());
  const auto* unsent = std::get_if<exchange_unsent>(&late);
  REQUIRE(unsent != nullptr);
  CHECK(unsent->cause.code() == errc::kTimeout);
  CHECK(BodyOf(caller.Send(server.entry(), "1", std::nullopt,
                           BootNow() + seconds(2))) == "one");
}

TEST_CASE("a late response to an earlier request is skipped") {
  scripted_server server(
      {SampleResponse("old", "stale") + SampleResponse("1", "one")});
  client caller;
  CHECK(BodyOf(caller.Send(server.entry(), "1")) == "one");
}

TEST_CASE("a connection with bytes after its response is not reused") {
  scripted_server server(
      {SampleResponse("1", "one") + SampleResponse("1", "one"),
       SampleResponse("2", "two")});
  client caller;
  CHECK(BodyOf(caller.Send(server.entry(), "1")) == "one");
  std::this_thread::sleep_for(milliseconds(50));
  const exchange_result second = caller.Send(server.entry(), "2");
  CHECK(caller.connection_pool.opened_count() == 2);
}

TEST_CASE("a truncated response is not an answer") {
  const std::string whole = SampleResponse("1", "0123456789");
  scripted_server server({whole.substr(0, whole.size() - 3), ""});
  client caller;
  CHECK(!std::holds_alternative<exchange_answered>(
      caller.Send(server.entry(), "1", milliseconds(200))));
}

// Guards against a caller that gets 200 with an empty or short body, framed as
// whole: the endpoint stopped within the head or the body of its response and
// closed the connection.
TEST_CASE("no prefix of a response is an answer") {
  const std::string chunked =
      SampleCodedResponse("1", "chunked", "4\r\nbody\r\n0\r\n\r\n");
  const std::string whole = GENERATE_COPY(SampleResponse("1", "body"),
                                          SampleResponse("1", ""), chunked);
  const bool resets = GENERATE(false, true);
  for (std::size_t size = 0; size < whole.size(); ++size) {
    scripted_server server({whole.substr(0, size)}, resets, true);
    client caller;
    INFO("the first " << size << " bytes of " << whole);
    CHECK(std::holds_alternative<exchange_lost>(
        caller.Send(server.entry(), "1")));
  }
  // The head of a response that ends with its connection.
  const std::string unframed = platform::SampleUnframedResponse("1", "");
  for (std::size_t size = 0; size < unframed.size(); ++size) {
    scripted_server server({unframed.substr(0, size)}, resets, true);
    client caller;
    INFO("the first " << size << " bytes of " << unframed);
    CHECK(std::holds_alternative<exchange_lost>(
        caller.Send(server.entry(), "1")));
  }
}

TEST_CASE("a response without a length is complete only at an orderly close") {
  const std::string unframed = platform::SampleUnframedResponse("1", "body");
  {
    scripted_server server({unframed});
    client caller;
    CHECK(BodyOf(caller.Send(server.entry(), "1")) == "body");
  }
  {
    scripted_server server({unframed}, true);
    client caller;
    const exchange_result end = caller.Send(server.entry(), "1");
    INFO("alternative " << end.index() << " body " << BodyOf(end));
    CHECK(std::holds_alternative<exchange_lost>(end));
  }
}

// Guards against a body that is cut short or has a coding which callers haven't
// asked for, and against a part of a body that is read as a response.
TEST_CASE("only framings with one reading are taken from endpoints") {
  const std::string inner = SampleResponse("1", "inner");
  const std::string head = platform::SampleUnframedResponse("1", "");
  const std::size_t first_line = head.find("\r\n") + 2;
  const std::string own_fields =
      head.substr(first_line, head.size() - first_line - 2);
  for (const framing_sample& sample : FramingSamples()) {
    scripted_server server({ResponseBytes(sample, own_fields) + inner,
                            SampleResponse("2", "next")},
                           false, sample.response_ends_with_connection);
    client caller;
    const exchange_result end = caller.Send(server.entry(), "1");
    CAPTURE(sample.name);
    CHECK(std::holds_alternative<exchange_answered>(end) ==
          sample.response_taken);
    if (sample.response_taken) {
      CHECK(BodyOf(end) ==
            (sample.response_ends_with_connection ? inner : sample.body));
    }
    CHECK(BodyOf(caller.Send(server.entry(), "2")) == "next");
    CHECK(caller.connection_pool.opened_count() == 2);
  }
}

// Guards against an id or a statement "not executed" in a trailer, which the
// endpoint's own headers don't have.
TEST_CASE("trailers of a response are ignored") {
  scripted_server server({SampleCodedResponse(
      "1", "chunked", "3\r\none\r\n0\r\nLate: 1\r\n\r\n")});
  client caller;
  const exchange_result end = caller.Send(server.entry(), "1");
  REQUIRE(BodyOf(end) == "one");
  CHECK(std::get<exchange_answered>(end).response.count("Late") == 0);
}

TEST_CASE("a refused connection proves that nothing was sent") {
  fleet_endpoint entry;
  entry.instance = {endpoint_id("i-1"), incarnation(1)};
  entry.where = address::Parse("127.0.0.1:1").value();
  client caller;
  CHECK(std::holds_alternative<exchange_unsent>(caller.Send(entry, "1")));
}

TEST_CASE("a connection closed after the request leaves its outcome unknown") {
  scripted_server server({""});
  client caller;
  CHECK(
      std::holds_alternative<exchange_lost>(caller.Send(server.entry(), "1")));
}

// Guards against a use of the connection after the exchange has ended: the
// timer that abandons an attempt may fire as its response arrives, and its
// handler touched the connection after the exchange.
TEST_CASE("an overdue exchange is abandoned, and a finished one is not") {
  // Answers the first request with an interim response only.
  scripted_server silent(
      {"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n", ""});
  client caller;
  const exchange_result end =
      caller.Send(silent.entry(), "1", milliseconds(100));
  REQUIRE(std::holds_alternative<exchange_lost>(end));
  CHECK(std::get<exchange_lost>(end).cause.code() == errc::kTimeout);
  scripted_server quick({SampleResponse("2", "two")});
  CHECK(BodyOf(caller.Send(quick.entry(), "2", milliseconds(1))).size() <= 3);
  caller.io.restart();
  caller.io.run_for(milliseconds(50));
}

constexpr std::size_t kMemoryLimit = 400'000;

// A response that repeats `part` between `head` and `tail`. It is whole, so
// only a limit can keep it from being accepted.
std::string Repeated(const std::string& head,
                     const std::string& part,
                     const std::string& tail) {
  std::string bytes = head;
  while (bytes.size() < 2 * kMemoryLimit) {
    bytes += part;
  }
  return bytes + tail;
}

// Guards against a daemon that runs out of memory because an endpoint sends
// bytes without end.
TEST_CASE("a response without end is cut at the limit of memory") {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string last_chunk = "0\r\n\r\n";
  const std::string script = GENERATE_COPY(
      Repeated(head, "X-Filler: 0123456789\r\n", "\r\n"),
      Repeated(head + "X-Filler: ", "0123456789", "\r\n\r\n"),
      Repeated(head + "\r\n", "0123456789", ""),
      head + "Content-Length: 150000\r\n\r\n" + std::string(150'000, 'x'),
      Repeated(chunked, "1\r\nx\r\n", last_chunk),
      Repeated(chunked + "1;name=", "value", "\r\nx\r\n" + last_chunk),
      Repeated(chunked + "0\r\n", "X-Filler: 0123456789\r\n", "\r\n"),
      Repeated("", "HTTP/1.1 103 Early Hints\r\n\r\n", head + "\r\nabc"));
  scripted_server server({script});
  const auto memory = std::make_shared<byte_budget>(kMemoryLimit);
  client caller(memory);
  const exchange_result end = caller.Send(server.entry(), "a");
  CHECK(std::holds_alternative<exchange_lost>(end));
  CHECK(memory->used() == 0);
}

// Guards against a bound that holds for each response and not for all.
TEST_CASE("responses that are kept count in the limit of memory") {
  const std::string body(90'000, 'x');
  scripted_server server(
      {SampleResponse("a", body), SampleResponse("b", body)});
  const auto memory = std::make_shared<byte_budget>(kMemoryLimit);
  byte_reservation others(memory);
  REQUIRE(others.GrowTo(kMemoryLimit - 100'000));
  client caller(memory);
  const exchange_result kept = caller.Send(server.entry(), "a");
  CHECK(BodyOf(kept) == body);
  CHECK(memory->used() > kMemoryLimit - 100'000);
  CHECK(
      std::holds_alternative<exchange_lost>(caller.Send(server.entry(), "b")));
}

// Guards against bodies without a stated length that occupy twice the memory
// that counts, since their buffer grows by doubling.
TEST_CASE("a response counts with the memory that its body occupies") {
  std::string chunked = SampleCodedResponse("a", "chunked", "");
  for (int i = 0; i < 70; ++i) {
    chunked += "3e8\r\n" + std::string(1'000, 'x') + "\r\n";
  }
  chunked += "0\r\n\r\n";
  const std::string script = GENERATE_COPY(
      SampleResponse("a", std::string(70'000, 'x')),
      platform::SampleUnframedResponse("a", std::string(70'000, 'x')), chunked);
  scripted_server server({script});
  const auto memory = std::make_shared<byte_budget>(kMemoryLimit);
  client caller(memory);
  const exchange_result end = caller.Send(server.entry(), "a");
  const auto* answered = std::get_if<exchange_answered>(&end);
  REQUIRE(answered != nullptr);
  CHECK(answered->response.body().size() == 70'000);
  CHECK(memory->used() >= answered->response.body().capacity());
}

// Guards against callers that are told "not run" for a request that runs: a
// late copy of the first rejection was taken for the response to the next
// attempt of the same request on the same connection.
TEST_CASE("a copy of a rejection doesn't answer its request's next attempt") {
  scripted_server server({SampleRejection("1"), SampleResponse("1", "one")});
  server.RepeatResponses();
  client caller;
  CHECK(BodyOf(caller.Send(server.entry(), "1")).empty());
  CHECK(BodyOf(caller.Send(server.entry(), "1")) == "one");
}

// Guards against the same for another request, where endpoints reject without
// naming the attempt.
TEST_CASE(
    "a copy of a rejection without an id doesn't answer another request") {
  scripted_server server({SampleRejection(""), SampleResponse("2", "two")});
  server.RepeatResponses();
  client caller;
  CHECK(BodyOf(caller.Send(server.entry(), "1")).empty());
  CHECK(BodyOf(caller.Send(server.entry(), "2")) == "two");
}

// Guards against callers of non-idempotent requests that are told "not run" for
// a request that runs: bytes that an endpoint sent after a complete response,
// and that looked like a rejection, were taken for the response to the next
// request on the connection.
TEST_CASE("bytes after a response prove nothing about the next request") {
  const std::string bare_refusal =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
  scripted_server server(
      {SampleResponse("1", "one"), SampleResponse("2", "two")});
  server.PrecedeLaterResponses(
      GENERATE_COPY(SampleRejection(""), bare_refusal));
  client caller;
  CHECK(BodyOf(caller.Send(server.entry(), "1")) == "one");
  CHECK(ResultOf(caller.Send(server.entry(), "2"), false) ==
        attempt_result::kUnconfirmed);
  CHECK(caller.connection_pool.opened_count() == 1);
}

// Guards against two responses that are read as one: the end of a head that an
// endpoint sent after a complete response was cut off, so that the next
// response continued one of its lines. A non-idempotent request that ran then
// counted as rejected under its own id, or a failure as a success.
TEST_CASE("a part of a response doesn't merge with the next response") {
  const std::string rejection = SampleRejection("");
  const std::string success =
      "HTTP/1.1 200 OK\r\nServer: s\r\nDate: today\r\n\r\n";
  const std::string part_of = GENERATE_COPY(rejection, success);
  const std::string failed = SampleFailure("2", "two");
  for (std::size_t size = 1; size < part_of.size(); ++size) {
    scripted_server server({SampleResponse("1", "one"), failed});
    server.PrecedeLaterResponses(part_of.substr(0, size));
    client caller;
    CHECK(BodyOf(caller.Send(server.entry(), "1")) == "one");
    const exchange_result merged = caller.Send(server.entry(), "2");
    CAPTURE(size);
    CHECK(ResultOf(merged, false) == attempt_result::kLost);
  }
}

TEST_CASE("bytes that name another attempt don't answer the next request") {
  scripted_server server(
      {SampleResponse("1", "one"), SampleResponse("2", "two")});
  server.PrecedeLaterResponses(SampleRejection("1"));
  client caller;
  CHECK(BodyOf(caller.Send(server.entry(), "1")) == "one");
  CHECK(BodyOf(caller.Send(server.entry(), "2")) == "two");
}

TEST_CASE("a connection on which a copy arrived isn't used again") {
  scripted_server server({SampleResponse("1", "one"),
                          SampleResponse("2", "two"),
                          SampleResponse("3", "three")});
  server.RepeatResponses();
  client caller;
  CHECK(BodyOf(caller.Send(server.entry(), "1")) == "one");
  CHECK(BodyOf(caller.Send(server.entry(), "2")) == "two");
  CHECK(BodyOf(caller.Send(server.entry(), "3")) == "three");
  CHECK(caller.connection_pool.opened_count() == 2);
}

TEST_CASE("a connection with a rejection carries other requests") {
  scripted_server server({SampleRejection("1"), SampleResponse("2", "two")});
  client caller;
  CHECK(BodyOf(caller.Send(server.entry(), "1")).empty());
  CHECK(BodyOf(caller.Send(server.entry(), "2")) == "two");
  CHECK(caller.connection_pool.opened_count() == 1);
}

}  // namespace
}  // namespace bluebell
