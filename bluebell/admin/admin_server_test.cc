#include "bluebell/admin/admin_server.h"

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/overloaded.h"
#include "bluebell/http/http_client.h"
#include "bluebell/telemetry/metrics_registry.h"

namespace bluebell {
namespace {

namespace bhttp = boost::beast::http;

struct admin_fixture {
  boost::asio::io_context io;
  metrics_registry metrics;
  std::optional<operator_command> asked;
  std::optional<request_id> explained;
  std::unique_ptr<admin_server> server;
  std::unique_ptr<http_client> client;

  admin_fixture() {
    admin_handlers handlers;
    handlers.command = [this](const operator_command& command,
                              const admin_handlers::reply_handler& done) {
      asked = command;
      done({409, R"({"answer":1})"});
    };
    handlers.explain_request = [this](
                                   const request_id& id,
                                   const admin_handlers::reply_handler& done) {
      explained = id;
      done({200, "{}"});
    };
    const address listen = address::Parse("127.0.0.1:0").value();
    server = admin_server::Make(io, listen, handlers, metrics).value();
    client = http_client::Make(io, server->listen_address(), {}).value();
  }

  http_response Call(bhttp::verb method,
                     const std::string& target,
                     const std::string& body = "") {
    http_request request(method, target, 11);
    request.body() = body;
    std::optional<result<http_response>> response;
    client->Call(request, seconds(3), step::kReadReply,
                 [&](const auto& outcome) { response = outcome; });
    const instant last = std::chrono::steady_clock::now() + seconds(4);
    while (!response && std::chrono::steady_clock::now() < last) {
      io.run_one_for(milliseconds(100));
      io.restart();
    }
    return response.value().value();
  }
};

TEST_CASE("an operator's HTTP request becomes the command that it describes") {
  admin_fixture test;
  const http_response response = test.Call(bhttp::verb::get, "/status");
  CHECK(response.result_int() == 409);
  CHECK(response.body() == R"({"answer":1})");
  CHECK(test.asked == operator_command(show_status{}));
  test.Call(bhttp::verb::get, "/explain?service=tracker&key=bin%2F47%2011");
  CHECK(test.asked ==
        operator_command(explain_key{service_name("tracker"), "bin/47 11"}));
  test.Call(bhttp::verb::post, "/domain-lost",
            R"({"domain":"a","operator":"ann","reason":"fire"})");
  CHECK(test.asked ==
        operator_command(declare_domain_lost{domain_name("a"), "ann", "fire"}));
  test.Call(bhttp::verb::post, "/config",
            R"({"base":7,"operator":"ann","reason":"stocktaking",)"
            R"("set":{"setting":"moves_per_minute","value":"0"}})");
  const auto* change = std::get_if<change_config>(&*test.asked);
  REQUIRE(change != nullptr);
  CHECK(change->change.base == config_version(7));
  const std::string id = "01931e0c-3c1a-7c1e-8f00-0123456789ab";
  CHECK(test.Call(bhttp::verb::get, "/explain?request=" + id).result_int() ==
        200);
  CHECK(test.explained == request_id::Parse(id).value());
}

TEST_CASE(
    "an invalid operator's request is refused and no command is executed") {
  admin_fixture test;
  const auto status = [&](bhttp::verb method, const std::string& target,
                          const std::string& body = "") {
    return test.Call(method, target, body).result_int();
  };
  CHECK(status(bhttp::verb::get, "/nothing") == 404);
  CHECK(status(bhttp::verb::get, "/explain?service=tracker") == 400);
  CHECK(status(bhttp::verb::get, "/explain?service=a&key=%4") == 400);
  CHECK(status(bhttp::verb::get, "/explain?request=7") == 400);
  CHECK(status(bhttp::verb::post, "/config", "{") == 400);
  CHECK(status(bhttp::verb::post, "/domain-lost", R"({"domain":"a"})") == 400);
  CHECK(status(bhttp::verb::delete_, "/config") == 405);
  CHECK_FALSE(test.asked);
}

TEST_CASE("metrics are served in the text format for scrapers") {
  admin_fixture test;
  test.metrics.Add(metric::kHeartbeatsSent, {});
  const http_response response = test.Call(bhttp::verb::get, "/metrics");
  CHECK(response.body().find("bluebell_heartbeats_sent_total 1") !=
        std::string::npos);
}

}  // namespace
}  // namespace bluebell
