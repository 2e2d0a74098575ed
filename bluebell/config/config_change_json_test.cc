#include "bluebell/config/config_change_json.h"

#include <string>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

TEST_CASE(
    "each kind of change is unchanged after conversion to JSON and back") {
  const config_exception added{
      "x",
      {service_name("s"), domain_name("d"), endpoint_id("e"), caller_name("c")},
      "warm_up_ms",
      "5",
      "cold \"disk\""};
  const auto action = GENERATE_REF(
      config_change{config_version(7), "ann", "why",
                    set_default{"drain", "true"}},
      config_change{config_version(7), "ann", "why", add_exception{added}},
      config_change{config_version(7), "ann", "why", remove_exception{"x"}});
  const auto read = ParseConfigChange(ToJson(action));
  REQUIRE(read);
  CHECK(read.value() == action);
}

TEST_CASE(
    "values may be JSON numbers or booleans and the reason may be omitted") {
  const auto read = ParseConfigChange(R"({"base": 1, "operator": "ann",
      "reason": "why", "add_exception": {"name": "x", "setting": "warm_up_ms",
      "scope": {"service": "s"}, "value": 5}})");
  REQUIRE(read);
  const auto& added = std::get<add_exception>(read.value().action).added;
  CHECK(added.value == "5");
  CHECK(added.reason == "why");
}

TEST_CASE("a misspelt change or a second change is refused") {
  const std::string head = R"({"base": 1, "operator": "a", "reason": "r")";
  const std::string set = R"(, "set": {"setting": "drain", "value": true})";
  CHECK(ParseConfigChange(head + set + "}"));
  CHECK_FALSE(ParseConfigChange(head + "}"));
  CHECK_FALSE(ParseConfigChange(head + set +
                                R"(, "remove_exception": {"name": "x"}})"));
  CHECK_FALSE(ParseConfigChange(head + set + R"(, "set_default": {}})"));
  CHECK_FALSE(
      ParseConfigChange(R"({"operator": "a", "reason": "r")" + set + "}"));
  CHECK_FALSE(ParseConfigChange(
      head + R"(, "add_exception": {"name": "x", "setting": "warm_up_ms",
                 "scope": {"servce": "s"}, "value": 5}})"));
}

}  // namespace
}  // namespace bluebell
