#include "bluebell/store/http_platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "bluebell/http/http_client.h"
#include "bluebell/store/memory_platform.h"
#include "testing/platform_standin.h"

namespace bluebell {
namespace {

namespace bhttp = boost::beast::http;

const address kWhere = address::Parse("127.0.0.1:17811").value();
const std::string kKey = "tables/tracker/0";

template <typename Value>
Value Await(boost::asio::io_context& io,
            const std::function<void(std::function<void(Value)>)>& start) {
  std::optional<Value> outcome;
  start([&](Value value) { outcome = std::move(value); });
  const instant last = std::chrono::steady_clock::now() + seconds(5);
  while (!outcome && std::chrono::steady_clock::now() < last) {
    io.run_one_for(milliseconds(100));
    io.restart();
  }
  return outcome.value();
}

struct store_fixture {
  boost::asio::io_context io;
  std::unique_ptr<platform_standin> standin =
      platform_standin::Start(io, kWhere).value();
  std::shared_ptr<memory_platform> memory =
      std::make_shared<memory_platform>(io);
  platform_client platform = memory;
  bool over_http = false;

  explicit store_fixture(bool http) : over_http(http) {
    if (http) {
      platform = http_platform::Make(io, kWhere, milliseconds(200)).value();
    }
  }

  write_result Write(const std::string& value, std::uint64_t expected) {
    return Await<write_result>(io, [&](write_handler done) {
      WriteValue(platform, kKey, value, store_version(expected),
                 std::move(done));
    });
  }

  result<store_value> Read() {
    return Await<result<store_value>>(io, [&](read_handler done) {
      ReadValue(platform, kKey, std::move(done));
    });
  }

  void SetFaults(const platform_faults& faults) {
    memory->SetFaults(faults);
    const std::string outage = faults.outage ? "true" : "false";
    const std::string lose = faults.lose_answers ? "true" : "false";
    http_request request(bhttp::verb::post, "/faults", 11);
    request.body() =
        R"({"outage":)" + outage + R"(,"lose_answers":)" + lose + "}";
    auto client = http_client::Make(io, kWhere, {}).value();
    REQUIRE(Await<result<http_response>>(io, [&](auto done) {
      client->Call(request, seconds(1), step::kReadStore, done);
    }));
  }
};

TEST_CASE("compare-and-swap lets exactly one of two writers win") {
  store_fixture test(GENERATE(false, true));
  CHECK(test.Read().value() == store_value{});
  const write_result first = test.Write("one", 0);
  REQUIRE(std::holds_alternative<write_applied>(first));
  const store_version version = std::get<write_applied>(first).version;
  CHECK(test.Write("two", 0) == write_result(write_conflict{version}));
  CHECK(test.Read().value() == store_value{"one", version});
  CHECK(std::holds_alternative<write_applied>(
      test.Write("three", version.value())));
}

TEST_CASE("a write whose answer is lost is in doubt although it took effect") {
  store_fixture test(GENERATE(false, true));
  test.SetFaults({.outage = false, .lose_answers = true});
  const write_result lost = test.Write("one", 0);
  REQUIRE(std::holds_alternative<write_in_doubt>(lost));
  CHECK(std::get<write_in_doubt>(lost).cause.at() == step::kWriteStore);
  test.SetFaults({});
  CHECK(test.Read().value().value == "one");
}

TEST_CASE("an outage is an error with step and peer, not a missing value") {
  store_fixture test(GENERATE(false, true));
  test.SetFaults({.outage = true});
  const result<store_value> read = test.Read();
  REQUIRE_FALSE(read);
  CHECK(read.error().code() == errc::kTimeout);
  CHECK(read.error().at() == step::kReadStore);
  CHECK_FALSE(read.error().peer().empty());
  CHECK(std::holds_alternative<write_in_doubt>(test.Write("one", 0)));
  test.SetFaults({});
  // The outage had no effect on the store.
  CHECK(test.Read().value() == store_value{});
}

TEST_CASE("a watch that waits is answered by the next write") {
  store_fixture test(GENERATE(false, true));
  std::optional<result<store_value>> seen;
  WatchValue(test.platform, kKey, store_version(0), seconds(4),
             [&](const auto& value) { seen = value; });
  test.io.run_for(milliseconds(50));
  test.io.restart();
  CHECK_FALSE(seen);
  test.Write("one", 0);
  test.io.run_for(milliseconds(50));
  test.io.restart();
  REQUIRE(seen);
  CHECK(seen->value().value == "one");
}

TEST_CASE("a store that can't be reached fails at once, writes in doubt") {
  store_fixture test(true);
  test.standin.reset();
  CHECK(test.Read().error().code() == errc::kUnavailable);
  CHECK(std::holds_alternative<write_in_doubt>(test.Write("one", 0)));
}

TEST_CASE("a broken host list is an error, not a list without hosts") {
  boost::asio::io_context io;
  const auto standin = platform_standin::Start(io, kWhere).value();
  const auto client = http_client::Make(io, kWhere, {}).value();
  const auto put = [&](const std::string& body) {
    http_request request(bhttp::verb::put, "/hosts", 11);
    request.body() = body;
    return Await<result<http_response>>(io, [&](auto done) {
      client->Call(request, seconds(1), step::kReadHosts, done);
    });
  };
  CHECK(put(R"([{"name":"x","role":"daemon"}])").value().result_int() == 400);
  const std::string good =
      R"([{"name":"x","role":"endpoint","state":"leaving","domain":"d",)"
      R"("address":"127.0.0.1:9","service":"tracker"}])";
  CHECK(put(good).value().result_int() == 200);
  const platform_client platform =
      http_platform::Make(io, kWhere, milliseconds(200)).value();
  const auto hosts = Await<result<std::vector<host_entry>>>(
      io, [&](hosts_handler done) { ReadHosts(platform, std::move(done)); });
  REQUIRE(hosts);
  REQUIRE(hosts.value().size() == 1);
  CHECK(hosts.value()[0].state == host_state::kLeaving);
}

}  // namespace
}  // namespace bluebell
