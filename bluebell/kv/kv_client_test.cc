#include "bluebell/kv/kv_client.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/http/internal/impossible_responses.h"
#include "bluebell/http/internal/response_script.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;

// A body that is valid for every kind of call.
const std::string kBody =
    R"({"CurrentRev":7,"HasMore":false,"items":[],"events":[],)"
    R"("Revision":7,"Lease":3,"TtlS_time":4})";

std::vector<std::string> StoreResponses() {
  std::vector<std::string> responses;
  for (const std::string_view line : kImpossibleStatusLines) {
    for (const char* more : {"", "Connection: close\r\n"}) {
      responses.push_back(std::string(line) + "\r\n" + more +
                          "Content-Length: " + std::to_string(kBody.size()) +
                          "\r\n\r\n" + kBody);
    }
    responses.push_back(std::string(line) +
                        "\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"
                        "Content-Length: " +
                        std::to_string(kBody.size()) + "\r\n\r\n" + kBody);
  }
  return responses;
}

template <typename Value>
void CheckIsUnknown(asio::io_context& io, asio::awaitable<result<Value>> call) {
  std::optional<result<Value>> end;
  asio::co_spawn(
      io, [&]() -> asio::awaitable<void> { end = co_await std::move(call); },
      asio::detached);
  io.restart();
  while (!end && io.run_one() > 0) {
  }
  REQUIRE(end);
  REQUIRE_FALSE(end->has_value());
  // Not errc::kUnavailable, which would state that a write had no effect, nor
  // errc::kNotFound or kRefused, which would be the store's own statement.
  CHECK(end->error().code() == errc::kConnectionLost);
}

// Guards against a write, a lease or a read that counts as carried out, refused
// or without effect because of a response that no store may send.
TEST_CASE("a store call with an impossible status has an unknown outcome") {
  for (const std::string& bytes : StoreResponses()) {
    CAPTURE(bytes);
    asio::io_context io;
    response_script server(
        io, [&](std::vector<std::string>& /*sent*/) { return bytes; });
    const auto store = kv_client::Make(io, server.where()).value();
    CheckIsUnknown(io, store->List("p/"));
    CheckIsUnknown(io, store->Watch("p/", store_version(6), milliseconds(5)));
    CheckIsUnknown(io, store->ReadChanges("p/", store_version(6)));
    CheckIsUnknown(io, store->Write({{}, {{"p/a", "1", kv_lease()}}}));
    CheckIsUnknown(io, store->StartLease(seconds(4)));
    CheckIsUnknown(io, store->RenewLease(kv_lease(3)));
    CheckIsUnknown(io, store->EndLease(kv_lease(3)));
  }
}

}  // namespace
}  // namespace bluebell
