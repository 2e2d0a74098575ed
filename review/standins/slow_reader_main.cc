// Stand-ins and clients of a case in which clients read their answers slowly:
// the platform's store, one upstream, and clients on kept connections. Starts
// the gateway as a process of its own.
//
//   slow_reader PROGRAM FOLDER TROUBLE

#include <algorithm>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "bluebell/core/boot_clock.h"
#include "testing/child_process.h"
#include "testing/gateway/kv_standin.h"
#include "testing/header_text.h"
#include "testing/http_server.h"
#include "testing/run_after.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
// LOST: "more than three times".
constexpr int kAllowedLosses = 3;
constexpr unsigned kHttp11 = 11;
constexpr std::size_t kClientsPerGroup = 6;
// The largest answer of the kind "order-place" of the site.
constexpr std::size_t kAnswerBytes = 9'000;
constexpr milliseconds kClientLimit{6'000};
constexpr milliseconds kWork{50};
constexpr milliseconds kHeartbeat{870};
// The window of a client's connection.
constexpr int kReceiveBufferBytes = 4'096;

// How a client reads its second answer.
struct reading_pace {
  std::string name;
  std::size_t bytes_at_once = 0;
  milliseconds between_reads{0};
  // Before the first byte is read.
  milliseconds before{0};
};

struct world {
  explicit world(const std::string& folder)
      : record(folder + "/record.txt"), began(BootNow()) {}

  // Appends a line with the time since the start to record.txt.
  void Note(const std::string& text) {
    record
        << std::chrono::duration_cast<milliseconds>(BootNow() - began).count()
        << " ms " << text << std::endl;
  }

  asio::io_context io;
  std::ofstream record;
  instant began;
  address front;
  std::size_t waiting_clients = 0;
  int answered = 0;
  int lost = 0;
  int failed_otherwise = 0;
};

address FreeAddress() {
  asio::io_context io;
  const tcp::acceptor acceptor(
      io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  return address::Parse("127.0.0.1:" +
                        std::to_string(acceptor.local_endpoint().port()))
      .value();
}

// One unsafe route to one service.
std::string Config() {
  const json::array route{
      "r-1", "case.example", "/order/", "unsafe", "orders", 3.0, 1.5, 0, 2};
  const json::array service{"orders", false, 64, "/health"};
  return json::serialize(json::object{
      {"Version", "00000001"},
      {"Routes",
       json::object{
           {"Columns",
            json::array{"Name", "Host", "Prefix", "Kind", "Service", "TimeoutS",
                        "TargetLatencyS", "Priority", "MaxAttempts"}},
           {"Rows", json::array{route}}}},
      {"Services",
       json::object{{"Columns", json::array{"Name", "Sharded", "MaxConnections",
                                            "HealthCheckPath"}},
                    {"Rows", json::array{service}}}},
      {"Limits", json::object{{"MaxHeaderBytes", 16'384},
                              {"MaxBodyBytes", 67'108'864},
                              {"HeaderTimeoutS", 3},
                              {"IdleTimeoutS", 15}}}});
}

std::string Entry(const address& where, int sequence) {
  return json::serialize(
      json::object{{"Address", where.ToString()},
                   {"born", 1'790'000'000'000},
                   {"Information", json::object{{"Service", "orders"},
                                                {"Zone", "zone-a"},
                                                {"Version", "v1"},
                                                {"Slots", 16}}},
                   {"Status", json::object{{"State", "ready"},
                                           {"Sequence", sequence},
                                           {"WarmupRemainingS", 0}}}});
}

// The template deploy/gateway.settings with the values of a small deployment.
void WriteSettings(const std::string& file,
                   const address& front,
                   const address& store) {
  std::ofstream(file) << json::serialize(
      json::object{{"id", "front-1"},
                   {"domain", "zone-a"},
                   {"caller_listen", front.ToString()},
                   {"ready_listen", FreeAddress().ToString()},
                   {"peer_listen", FreeAddress().ToString()},
                   {"metrics_listen", FreeAddress().ToString()},
                   {"store", store.ToString()},
                   {"cpu_share", 0.2},
                   {"first_start", true},
                   {"memory_mb", 260},
                   {"grace_s", 6},
                   {"longest_hold_s", 10},
                   {"retry_share", 0.2},
                   {"retry_reserve", 62}});
}

asio::awaitable<void> Sleep(asio::io_context& io, milliseconds time) {
  asio::steady_timer timer(io, time);
  co_await timer.async_wait(kAwait);
}

// True if `received` holds a whole response with status 200.
bool IsWhole(const std::string& received) {
  const std::size_t head = received.find("\r\n\r\n");
  return head != std::string::npos && received.starts_with("HTTP/1.1 200") &&
         received.size() == head + 4 + kAnswerBytes;
}

std::string RequestBytes(const std::string& attempt) {
  const std::string body = "one order";
  return "POST /order/1 HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " +
         attempt +
         "\r\nX-Deadline-Ms: " + std::to_string(kClientLimit.count()) +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// Sends a request and reads the answer at `pace`. Returns what arrived until
// the answer was whole or the connection ended.
asio::awaitable<std::string> Exchange(world& here,
                                      tcp::socket& socket,
                                      const std::string& attempt,
                                      const reading_pace& pace) {
  const std::string request = RequestBytes(attempt);
  here.Note("client sends " + attempt);
  co_await asio::async_write(socket, asio::buffer(request), kAwait);
  co_await Sleep(here.io, pace.before);
  std::string received;
  std::vector<char> piece(pace.bytes_at_once);
  while (!IsWhole(received)) {
    const auto [failure, size] =
        co_await socket.async_read_some(asio::buffer(piece), kAwait);
    received.append(piece.data(), size);
    if (failure) {
      here.Note(attempt + ": connection ended: " + failure.message());
      break;
    }
    if (!received.starts_with("HTTP/1.1 200")) {
      break;
    }
    co_await Sleep(here.io, pace.between_reads);
  }
  co_return received;
}

// Two requests on one connection. The first answer is read at once.
asio::awaitable<void> RunClient(world& here,
                                std::string name,
                                reading_pace pace) {
  tcp::socket socket(here.io, tcp::v4());
  socket.set_option(
      asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  const auto [failure] = co_await socket.async_connect(
      tcp::endpoint(asio::ip::address_v4::loopback(), here.front.port()),
      kAwait);
  const reading_pace at_once{"at once", kAnswerBytes, milliseconds(0),
                             milliseconds(0)};
  std::string first;
  if (!failure) {
    first = co_await Exchange(here, socket, name + "-1", at_once);
  }
  if (!IsWhole(first)) {
    here.Note(name + "-1 was not answered");
    ++here.failed_otherwise;
    --here.waiting_clients;
    co_return;
  }
  const instant sent_at = BootNow();
  const std::string second = co_await Exchange(here, socket, name + "-2", pace);
  const auto took =
      std::chrono::duration_cast<milliseconds>(BootNow() - sent_at);
  const std::string outcome =
      name + "-2 (" + pace.name + "): " + std::to_string(second.size()) +
      " bytes after " + std::to_string(took.count()) + " ms, ";
  if (IsWhole(second)) {
    here.Note(outcome + "whole answer");
    ++here.answered;
  } else if (took < kClientLimit) {
    here.Note(outcome + "closed without a whole answer");
    ++here.lost;
  } else {
    here.Note(outcome + "after the client's time limit");
    ++here.failed_otherwise;
  }
  --here.waiting_clients;
}

// Answers each request with the whole body after a short time of work.
void Answer(world& here,
            const http_request& request,
            const http_responder& respond) {
  const std::string attempt = HeaderText(request, "X-Attempt-Id");
  here.Note("upstream runs " + attempt);
  RunAfter(here.io, kWork, [&here, attempt, respond] {
    http_response response(boost::beast::http::status::ok, kHttp11);
    response.set("X-Attempt-Id", attempt);
    response.set("X-Server-Signature", "3e1b.07." + attempt);
    response.body() = std::string(kAnswerBytes, 'x');
    response.prepare_payload();
    here.Note("upstream answers " + attempt);
    respond(response);
  });
}

// Writes the upstream's entry again and again.
void Heartbeat(world& here,
               const std::shared_ptr<kv_standin>& store,
               const address& upstream,
               int sequence) {
  store->Put("servers/i-1", Entry(upstream, sequence));
  RunAfter(here.io, kHeartbeat, [&here, store, upstream, sequence] {
    Heartbeat(here, store, upstream, sequence + 1);
  });
}

int Run(const std::string& program, const std::string& folder, bool trouble) {
  constexpr milliseconds kStart{4'000};
  constexpr milliseconds kLongestRun{30'000};
  constexpr milliseconds kStep{50};
  world here(folder);
  const address store_listen = FreeAddress();
  const address upstream_listen = FreeAddress();
  here.front = FreeAddress();
  auto store = kv_standin::Start(here.io, store_listen, 1);
  http_server_options options;
  options.listen = upstream_listen;
  auto upstream = http_server::Start(
      here.io, options,
      [&here](const http_request& request, const http_responder& respond) {
        Answer(here, request, respond);
      });
  if (!store || !upstream) {
    return kNotRun;
  }
  store.value()->Put("op/config", Config());
  Heartbeat(here, store.value(), upstream_listen, 1);
  // BLUEBELLSPAN_BOOT, which the gateway inherits, names this file.
  const std::string settings = folder + "/boot.toml";
  WriteSettings(settings, here.front, store_listen);
  auto gateway = child_process::Start(program, {}, folder + "/gateway.log");
  if (!gateway) {
    return kNotRun;
  }
  here.io.run_for(kStart);
  const reading_pace at_once{"reads at once", kAnswerBytes, milliseconds(0),
                             milliseconds(0)};
  const reading_pace steady{"reads 500 bytes each 250 ms", 500,
                            milliseconds(250), milliseconds(0)};
  const reading_pace late{"reads after 3.5 s", kAnswerBytes, milliseconds(0),
                          milliseconds(3'500)};
  for (std::size_t i = 0; i < kClientsPerGroup; ++i) {
    for (const reading_pace& pace : {steady, late}) {
      ++here.waiting_clients;
      const std::string name = "c" + std::to_string(here.waiting_clients);
      asio::co_spawn(here.io, RunClient(here, name, trouble ? pace : at_once),
                     asio::detached);
    }
  }
  const instant limit = BootNow() + kLongestRun;
  while (here.waiting_clients > 0 && BootNow() < limit) {
    here.io.restart();
    here.io.run_for(kStep);
  }
  here.Note("whole answers: " + std::to_string(here.answered) +
            ", closed without a whole answer: " + std::to_string(here.lost) +
            ", other: " + std::to_string(here.failed_otherwise));
  if (here.waiting_clients > 0 || here.failed_otherwise > 0) {
    return kNotRun;
  }
  return here.lost > kAllowedLosses ? kBroken : kHeld;
}

}  // namespace
}  // namespace bluebell

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  if (argc != kArguments) {
    std::cerr << "usage: slow_reader PROGRAM FOLDER TROUBLE\n";
    return bluebell::kNotRun;
  }
  try {
    return bluebell::Run(argv[1], argv[2], std::string_view(argv[3]) != "0");
  } catch (const std::exception& failure) {
    std::cerr << "slow_reader: " << failure.what() << '\n';
    return bluebell::kNotRun;
  }
}
