#include "bluebell/settings/gateway_settings.h"

#include <string>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const std::string kSettings = R"({
  // The template as the platform fills it in.
  "id": "front-lk-west-a-1", "domain": "lk-west-a",
  "caller_listen": "10.1.0.18:8381", "ready_listen": "10.1.0.18:8388",
  "peer_listen": "10.1.0.18:7200", "metrics_listen": "10.1.0.18:7201",
  "store": "10.200.1.7:8384", "cpu_share": 0.2, "memory_mb": 260,
  "grace_s": 6,
  "longest_hold_s": 10, "retry_share": 0.2, "retry_reserve": 62
})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  text.replace(text.find(from), from.size(), to);
  return text;
}

TEST_CASE("the settings of a gateway daemon are read") {
  const auto parsed = gateway_settings::Parse(kSettings);
  const auto* settings = std::get_if<gateway_settings>(&parsed);
  REQUIRE(settings != nullptr);
  CHECK(settings->id == daemon_id("front-lk-west-a-1"));
  CHECK(settings->domain == domain_name("lk-west-a"));
  CHECK(settings->peer_listen.port() == 7'200);
  CHECK(settings->cpu_millis == 200);
  CHECK(settings->memory_mb == 260);
  CHECK(settings->shutdown_grace == seconds(6));
  CHECK(settings->max_grant_lifetime == seconds(10));
  CHECK(settings->retry_percent == 20);
  CHECK(settings->retry_reserve == 62);
}

// Guards against a limit of cold endpoints on platforms that state none, and
// against one that is dropped.
TEST_CASE("the limit of cold endpoints is read only if it is given") {
  const auto read = [](const std::string& text) {
    return std::get<gateway_settings>(gateway_settings::Parse(text));
  };
  CHECK(!read(kSettings).warmup_overage);
  CHECK(!read(kSettings).warmup_slack);
  const gateway_settings limited =
      read(Replaced(kSettings, R"("grace_s")",
                    R"("warmup_overage": 1.5, "warmup_slack": 8, "grace_s")"));
  CHECK(limited.warmup_overage == 1.5);
  CHECK(limited.warmup_slack == 8);
}

// Guards against a price that is ignored, or required in files without it.
TEST_CASE("the price of bytes between domains is read and checked") {
  const std::string name = R"("cross_domain_price_ms_per_mb": )";
  const auto with_price = [&](const std::string& value) {
    return gateway_settings::Parse(
        Replaced(kSettings, R"("grace_s": 6,)",
                 R"("grace_s": 6, )" + name + value + ","));
  };
  const auto without = gateway_settings::Parse(kSettings);
  CHECK(std::get<gateway_settings>(without).cross_domain_price_ms_per_mb ==
        1'000);
  const auto with = with_price("250");
  CHECK(std::get<gateway_settings>(with).cross_domain_price_ms_per_mb == 250);
  CHECK(
      std::holds_alternative<std::vector<settings_problem>>(with_price("-1")));
  CHECK(std::holds_alternative<std::vector<settings_problem>>(
      with_price("1000001")));
}

TEST_CASE("all problems in the settings of a gateway daemon are reported") {
  std::string text =
      Replaced(kSettings, R"("cpu_share": 0.2)", R"("cpu_share": 0)");
  text = Replaced(text, R"("store": "10.200.1.7:8384")", R"("store": 5)");
  text = Replaced(text, R"("retry_reserve")", R"("retry_reserves")");
  const auto parsed = gateway_settings::Parse(text);
  const auto* problems = std::get_if<std::vector<settings_problem>>(&parsed);
  REQUIRE(problems != nullptr);
  CHECK(problems->size() == 3);
}

TEST_CASE("settings that are not JSON are refused with their line") {
  const auto parsed = gateway_settings::Parse("{\n  x");
  const auto* problems = std::get_if<std::vector<settings_problem>>(&parsed);
  REQUIRE(problems != nullptr);
  CHECK(problems->front().path.starts_with("line 2"));
}

}  // namespace
}  // namespace bluebell
