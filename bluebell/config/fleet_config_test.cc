#include "bluebell/config/fleet_config.h"

#include <array>
#include <chrono>
#include <iostream>
#include <string>
#include <utility>

#include <rapidcheck/catch.h>
#include <catch2/catch.hpp>

#include "bluebell/config/setting.h"

namespace bluebell {
namespace {

const wall_instant kNow(seconds(1'796'380'060));

config_change MakeChange(
    const fleet_config& base,
    std::variant<set_default, add_exception, remove_exception> action) {
  return {base.version(), "ann", "test", std::move(action)};
}

result<fleet_config> ApplyChange(
    const fleet_config& base,
    std::variant<set_default, add_exception, remove_exception> action) {
  return base.Apply(MakeChange(base, std::move(action)), change_id("c"), kNow);
}

config_scope Scope(const std::string& service,
                   const std::string& domain = "",
                   const std::string& endpoint = "",
                   const std::string& caller = "") {
  return {service_name(service), domain_name(domain), endpoint_id(endpoint),
          caller_name(caller)};
}

add_exception Add(const std::string& name,
                  const config_scope& scope,
                  const std::string& setting,
                  const std::string& value) {
  return {{name, scope, setting, value, "why " + name}};
}

TEST_CASE("a change against an old version is refused with the changes since") {
  const fleet_config start;
  const fleet_config one =
      ApplyChange(start, set_default{"moves_per_minute", "0"}).value();
  const fleet_config two =
      ApplyChange(one, Add("x", Scope("tracker"), "moves_per_minute", "5"))
          .value();
  const auto outdated =
      two.Apply(MakeChange(start, set_default{"ledger_entries", "500"}),
                change_id("d"), kNow);
  REQUIRE_FALSE(outdated);
  CHECK(outdated.error().code() == errc::kConflict);
  const std::string& detail = outdated.error().detail();
  CHECK(detail.find("against version 0; version 2 is in force") !=
        std::string::npos);
  CHECK(
      detail.find("2 by ann at 2026-12-04T10:27:40.000Z: add exception x: "
                  "moves_per_minute = 5 for service=tracker (reason: test)") !=
      std::string::npos);
  CHECK(detail.find("1 by ann at 2026-12-04T10:27:40.000Z: set default "
                    "moves_per_minute = 0 (reason: test)") !=
        std::string::npos);
  CHECK(two.exceptions().size() == 1);
}

TEST_CASE("changes without an operator or a reason are refused") {
  const fleet_config start;
  config_change change =
      MakeChange(start, set_default{"moves_per_minute", "0"});
  const auto code = [&] {
    return start.Apply(change, change_id("c"), kNow).error().code();
  };
  change.reason = " \t\n";
  CHECK(code() == errc::kInvalidArgument);
  change.reason = std::string(fleet_config::kMaxReasonBytes + 1, 'x');
  CHECK(code() == errc::kInvalidArgument);
  change.reason = "test";
  change.operator_name = "";
  CHECK(code() == errc::kInvalidArgument);
  add_exception silent = Add("x", Scope("s"), "moves_per_minute", "5");
  silent.added.reason = " ";
  CHECK_FALSE(ApplyChange(start, silent));
}

TEST_CASE("values out of range are refused with the allowed range") {
  const fleet_config start;
  for (const char* value :
       {"101", "-1", "", " 5", "5 ", "0x5", "1.5", "true"}) {
    INFO(value);
    const auto refused =
        ApplyChange(start, set_default{"share_percent.urgent", value});
    REQUIRE_FALSE(refused);
    CHECK(refused.error().peer() == "share_percent.urgent");
    CHECK(refused.error().detail().find("from 0 to 100 (percent)") !=
          std::string::npos);
  }
  CHECK_FALSE(ApplyChange(start, set_default{"no_such_setting", "1"}));
  CHECK_FALSE(ApplyChange(start, set_default{"drain", "true"}));
}

TEST_CASE("exceptions without effect or with conflicts are refused") {
  const fleet_config start =
      ApplyChange(fleet_config(), Add("x", Scope("s"), "warm_up_ms", "5"))
          .value();
  CHECK_FALSE(ApplyChange(start, Add("x", Scope("t"), "warm_up_ms", "5")));
  CHECK_FALSE(ApplyChange(start, Add("y", Scope("s"), "warm_up_ms", "6")));
  CHECK_FALSE(ApplyChange(start, Add("y", Scope(""), "warm_up_ms", "6")));
  CHECK_FALSE(ApplyChange(start, Add("y y", Scope("t"), "warm_up_ms", "6")));
  CHECK_FALSE(ApplyChange(start, Add("y", Scope("t"), "drain", "true")));
  CHECK_FALSE(ApplyChange(
      start, Add("y", Scope("t", "", "e"), "moves_per_minute", "6")));
  CHECK_FALSE(ApplyChange(start, remove_exception{"y"}));
  CHECK(ApplyChange(start, Add("y", Scope("s", "d"), "warm_up_ms", "6")));
  CHECK(ApplyChange(start, Add("y", Scope("", "", "e"), "drain", "true")));
  CHECK(ApplyChange(start, remove_exception{"x"}));
}

TEST_CASE("the most specific exception applies regardless of the order") {
  const std::array<std::pair<config_scope, int>, 4> exceptions = {{
      {Scope("", "d"), 1},
      {Scope("s"), 2},
      {Scope("s", "d"), 3},
      {Scope("", "", "e"), 4},
  }};
  const bool reversed = GENERATE(false, true);
  fleet_config config;
  for (std::size_t i = 0; i < exceptions.size(); ++i) {
    const auto& [scope, value] =
        exceptions.at(reversed ? exceptions.size() - 1 - i : i);
    config = ApplyChange(config, Add("x" + std::to_string(value), scope,
                                     "warm_up_ms", std::to_string(value)))
                 .value();
  }
  const auto warm_up = [&config](const config_scope& where) {
    return config.ValuesFor(where).warm_up.count();
  };
  CHECK(warm_up(Scope("t", "f", "g")) == 2'000);
  CHECK(warm_up(Scope("t", "d", "g")) == 1);
  CHECK(warm_up(Scope("s", "f", "g")) == 2);
  CHECK(warm_up(Scope("s", "d", "g")) == 3);
  CHECK(warm_up(Scope("s", "d", "e")) == 4);
  CHECK(warm_up(Scope("s")) == 2);
}

TEST_CASE("exceptions that only together exceed 100 percent are refused") {
  const fleet_config one =
      ApplyChange(fleet_config(), set_default{"share_percent.urgent", "50"})
          .value();
  const fleet_config two =
      ApplyChange(one, Add("x", Scope("s"), "share_percent.normal", "40"))
          .value();
  const auto refused = ApplyChange(
      two, Add("y", Scope("", "d"), "share_percent.deferrable", "11"));
  REQUIRE_FALSE(refused);
  CHECK(refused.error().detail() ==
        "for service=s domain=d share_percent.urgent would be 50, "
        "share_percent.normal would be 40, share_percent.deferrable would be "
        "11; their sum must be at most 100");
  CHECK(ApplyChange(
      two, Add("y", Scope("t", "d"), "share_percent.deferrable", "11")));
  CHECK_FALSE(ApplyChange(two, set_default{"share_percent.urgent", "51"}));
}

TEST_CASE("removing an exception is refused if a rule would be violated") {
  fleet_config config =
      ApplyChange(fleet_config(),
                  Add("low", Scope("s", "d"), "share_percent.urgent", "10"))
          .value();
  config = ApplyChange(config, Add("high", Scope("s", "d"),
                                   "share_percent.normal", "80"))
               .value();
  CHECK_FALSE(ApplyChange(config, remove_exception{"low"}));
  CHECK(ApplyChange(config, remove_exception{"high"}));
}

TEST_CASE("a default deadline beyond the maximum is refused") {
  CHECK_FALSE(ApplyChange(fleet_config(),
                          set_default{"max_deadline_ms.urgent", "999"}));
  CHECK_FALSE(
      ApplyChange(fleet_config(), Add("x", Scope("", "", "", "broker"),
                                      "default_deadline_ms.urgent", "30001")));
}

TEST_CASE(
    "the history is bounded and a conflict states that changes are missing") {
  fleet_config config;
  for (std::size_t i = 0; i < fleet_config::kMaxHistory + 5; ++i) {
    config =
        ApplyChange(config, set_default{"moves_per_minute", std::to_string(i)})
            .value();
  }
  CHECK(config.history().size() == fleet_config::kMaxHistory);
  CHECK(config.history().front().version == config.version());
  const auto outdated =
      config.Apply(MakeChange(fleet_config(), set_default{"drain", "false"}),
                   change_id("d"), kNow);
  CHECK(outdated.error().detail().find("no longer in the history") !=
        std::string::npos);
}

TEST_CASE("an older or equal version never replaces a newer one") {
  const fleet_config start;
  const fleet_config one =
      ApplyChange(start, set_default{"moves_per_minute", "0"}).value();
  CHECK(one.Supersedes(start));
  CHECK_FALSE(start.Supersedes(one));
  CHECK_FALSE(one.Supersedes(one));
}

TEST_CASE("damaged documents and documents of another format are refused") {
  const std::string good = fleet_config().ToJson();
  REQUIRE(fleet_config::Parse(good));
  const auto with = [&good](const std::string& from, const std::string& to) {
    std::string text = good;
    text.replace(text.find(from), from.size(), to);
    return fleet_config::Parse(text);
  };
  CHECK_FALSE(fleet_config::Parse(""));
  CHECK_FALSE(fleet_config::Parse("[]"));
  CHECK_FALSE(fleet_config::Parse(good.substr(0, good.size() / 2)));
  CHECK_FALSE(with("\"version\":0", "\"version\":-1"));
  CHECK_FALSE(
      with("\"share_percent.urgent\":60", "\"share_percent.urgent\":61"));
  CHECK_FALSE(with("\"drain\"", "\"dran\""));
  CHECK(with("\"format\":1", "\"format\":2").error().code() ==
        errc::kUnsupportedVersion);
}

// Generates a change with few names and values, so that scopes overlap.
config_change AnyChange(const fleet_config& base) {
  const auto pick = [](std::initializer_list<std::string> from) {
    return *rc::gen::elementOf(std::vector<std::string>(from));
  };
  const std::string share =
      "share_percent." + pick({"urgent", "normal", "deferrable"});
  const std::string value = std::to_string(*rc::gen::inRange(0, 70));
  const std::string name = pick({"x1", "x2", "x3", "x4", "x5"});
  switch (*rc::gen::inRange(0, 4)) {
    case 0:
      return MakeChange(base, set_default{share, value});
    case 1:
      return MakeChange(base, remove_exception{name});
    default:
      return MakeChange(base, Add(name,
                                  Scope(pick({"", "s", "t"}), pick({"", "d"}),
                                        pick({"", "e"})),
                                  share, value));
  }
}

TEST_CASE(
    "any sequence of changes keeps the rule for shares and a valid document") {
  rc::prop("shares add up to at most 100 in every scope", [] {
    fleet_config config;
    const int steps = *rc::gen::inRange(1, 40);
    for (int i = 0; i < steps; ++i) {
      const auto next =
          config.Apply(AnyChange(config), change_id(std::to_string(i)), kNow);
      if (next) {
        RC_ASSERT(next.value().Supersedes(config));
        config = next.value();
      }
    }
    for (const char* service : {"", "s", "t", "u"}) {
      for (const char* domain : {"", "d", "f"}) {
        for (const char* endpoint : {"", "e", "g"}) {
          const auto values =
              config.ValuesFor(Scope(service, domain, endpoint));
          RC_ASSERT(values.share_percent[0] + values.share_percent[1] +
                        values.share_percent[2] <=
                    100U);
        }
      }
    }
    const auto read = fleet_config::Parse(config.ToJson());
    RC_ASSERT(read);
    RC_ASSERT(read.value() == config);
  });
}

// Prints the time of the operations with the maximum number of exceptions.
TEST_CASE("cost of a large configuration", "[.measure]") {
  fleet_config config;
  const auto started = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < fleet_config::kMaxExceptions; ++i) {
    const std::string number = std::to_string(i);
    config =
        ApplyChange(config, Add("x" + number,
                                Scope("", "", "lk-west-a-tracker-" + number),
                                i % 2 == 0 ? "share_percent.urgent"
                                           : "share_percent.deferrable",
                                "5"))
            .value();
  }
  const auto applied = std::chrono::steady_clock::now();
  const std::string text = config.ToJson();
  const auto printed = std::chrono::steady_clock::now();
  REQUIRE(fleet_config::Parse(text).value() == config);
  const auto parsed = std::chrono::steady_clock::now();
  const policy_values values =
      config.ValuesFor(Scope("tracker", "lk-west-a", "lk-west-a-tracker-3"));
  const auto found = std::chrono::steady_clock::now();
  CHECK(values.share_percent[2] == 5);
  const auto micros = [](auto span) {
    return std::chrono::duration_cast<microseconds>(span).count();
  };
  std::cout << config.exceptions().size() << " exceptions: " << text.size()
            << " bytes, Apply " << micros(applied - started) / 1'000
            << " us on average, ToJson " << micros(printed - applied)
            << " us, Parse " << micros(parsed - printed) << " us, ValuesFor "
            << micros(found - parsed) << " us\n";
}

}  // namespace
}  // namespace bluebell
