#include "bluebell/config/config_check.h"

#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

using action = std::variant<set_default, add_exception, remove_exception>;

config_scope Scope(const std::string& service,
                   const std::string& domain = "",
                   const std::string& endpoint = "") {
  return {service_name(service), domain_name(domain), endpoint_id(endpoint),
          caller_name()};
}

add_exception Add(const std::string& name,
                  const config_scope& scope,
                  const std::string& setting,
                  const std::string& value) {
  return {{name, scope, setting, value, "why"}};
}

std::vector<result<config_change>> Changes(const std::vector<action>& actions,
                                           std::uint64_t base = 0) {
  std::vector<result<config_change>> changes;
  changes.reserve(actions.size());
  for (const action& each : actions) {
    changes.emplace_back(
        config_change{config_version(base++), "ann", "why", each});
  }
  return changes;
}

fleet_config InForce(const std::vector<action>& actions) {
  fleet_config config;
  for (const auto& each : Changes(actions)) {
    config = config.Apply(each.value(), change_id("c"), wall_instant()).value();
  }
  return config;
}

std::vector<config_finding> Found(const std::vector<action>& actions,
                                  const check_context& context = {}) {
  const std::uint64_t base =
      context.in_force ? context.in_force->version().value() : 0;
  return CheckConfigChanges(Changes(actions, base), context).findings;
}

const known_fleet kFleet{
    {service_name("s"), service_name("t")},
    {domain_name("a"), domain_name("b")},
    {{endpoint_id("s-a"), service_name("s"), domain_name("a")},
     {endpoint_id("t-b"), service_name("t"), domain_name("b")}},
    std::nullopt};
const entry_place kFirst{1, "add_exception"};

// Guards against a check that finds fault with what daemons accept and use.
TEST_CASE("changes that have an effect are clean") {
  known_fleet fleet = kFleet;
  fleet.endpoints.push_back(
      {endpoint_id("u-a"), service_name("u"), domain_name("a")});
  CHECK(Found({set_default{"share_percent.deferrable", "5"},
               set_default{"share_percent.urgent", "65"},
               Add("x", Scope("s"), "warm_up_ms", "5"),
               Add("y", Scope("", "a"), "warm_up_ms", "7"),
               // The default again, which overrides "y" in a part of its scope.
               Add("z", Scope("", "a", "s-a"), "warm_up_ms", "2000"),
               remove_exception{"elsewhere"}, remove_exception{"x"},
               Add("x", Scope("t"), "warm_up_ms", "5")},
              {std::nullopt, fleet})
            .empty());
}

// Guards against an operator who mends one fault after the other, since only
// the first is shown, and against faults at the wrong field.
TEST_CASE("all faults of a change are found at their fields") {
  config_change change{config_version(0), " ", "",
                       Add("a b", Scope(""), "warm_up_ms", "-1")};
  std::get<add_exception>(change.action).added.reason = "";
  std::vector<std::string> fields;
  for (const config_finding& each : CheckConfigChanges({change}, {}).findings) {
    CHECK(std::holds_alternative<invalid_entry>(each));
    CHECK(PlaceOf(each).change == 1);
    fields.push_back(PlaceOf(each).field);
  }
  CHECK(fields ==
        std::vector<std::string>{"operator", "reason", "add_exception.name",
                                 "add_exception.value", "add_exception.scope"});
}

// Guards against a misspelt name that a daemon refuses only once it is sent.
TEST_CASE("names and values that daemons refuse are found") {
  const check_context context{InForce({}), std::nullopt};
  const std::vector<std::pair<action, std::string>> cases{
      {set_default{"warm_up", "5"}, "set.setting"},
      {set_default{"drain", "true"}, "set.setting"},
      {set_default{"warm_up_ms", "soon"}, "set.value"},
      {Add("x", Scope("s"), "warm_up", "5"), "add_exception.setting"},
      {Add("x", Scope("", "a"), "moves_per_minute", "5"),
       "add_exception.scope"},
      {Add("x", Scope("s"), "drain", "true"), "add_exception.scope"},
      {remove_exception{"x"}, "remove_exception.name"}};
  for (const auto& [wrong, field] : cases) {
    CAPTURE(field);
    const auto found = Found({wrong}, context);
    REQUIRE(found.size() == 1);
    CHECK(KindOf(found[0]) == "invalid");
    CHECK(PlaceOf(found[0]) == entry_place{1, field});
  }
}

// Guards against a second entry that replaces or contradicts the first unseen.
TEST_CASE("duplicates are found with the entry that they repeat") {
  using finding = config_finding;
  CHECK(
      Found({set_default{"warm_up_ms", "5"}, set_default{"warm_up_ms", "6"}}) ==
      std::vector{finding(duplicate_entry{{2, "set.setting"}, {1, "set"}})});
  CHECK(Found({Add("x", Scope("s"), "warm_up_ms", "5"),
               Add("x", Scope("t"), "warm_up_ms", "5"),
               Add("y", Scope("s"), "warm_up_ms", "6")}) ==
        std::vector{
            finding(duplicate_entry{{2, "add_exception.setting"}, kFirst}),
            finding(duplicate_entry{{3, "add_exception.setting"}, kFirst})});
  CHECK(Found({Add("y", Scope("s"), "warm_up_ms", "6")},
              {InForce({Add("x", Scope("s"), "warm_up_ms", "5")}),
               std::nullopt}) == std::vector{finding(duplicate_entry{
                                     {1, "add_exception.setting"}, {0, "x"}})});
}

// Guards against shares above the whole and a deadline above its limit, also
// where only exceptions of different scopes contradict each other.
TEST_CASE("limits that contradict each other are found") {
  const auto shares = Found({set_default{"share_percent.urgent", "61"}});
  REQUIRE(shares.size() == 1);
  CHECK(KindOf(shares[0]) == "contradiction");
  CHECK(Describe(shares[0]).find("at most 100") != std::string::npos);
  const auto deadlines =
      Found({Add("x", Scope("s"), "default_deadline_ms.urgent", "20000"),
             Add("y", Scope("", "a"), "max_deadline_ms.urgent", "10000")});
  REQUIRE(deadlines.size() == 1);
  CHECK(KindOf(deadlines[0]) == "contradiction");
  CHECK(PlaceOf(deadlines[0]).change == 2);
  CHECK(Describe(deadlines[0]).find("service=s domain=a") != std::string::npos);
}

// Guards against an exception for a misspelt name, which never applies.
TEST_CASE("scopes that match nothing in the fleet are found") {
  const check_context context{std::nullopt, kFleet};
  CHECK(Found({Add("x", Scope("u", "c", "s-b"), "warm_up_ms", "5")}, context) ==
        std::vector<config_finding>{unknown_name{kFirst, "service", "u"},
                                    unknown_name{kFirst, "domain", "c"},
                                    unknown_name{kFirst, "endpoint", "s-b"}});
  CHECK(Found({Add("x", Scope("s", "b"), "warm_up_ms", "5")}, context) ==
        std::vector<config_finding>{
            unmatched_scope{kFirst, "service=s domain=b"}});
  // Entry daemons read deadlines by their own domain.
  CHECK(Found({Add("x", Scope("s", "b"), "max_deadline_ms.urgent", "5000")},
              context)
            .empty());
  check_context with_callers = context;
  with_callers.fleet->callers = {caller_name("shop")};
  config_scope caller;
  caller.caller = caller_name("shpo");
  const add_exception misspelt =
      Add("x", caller, "max_deadline_ms.urgent", "5000");
  CHECK(Found({misspelt}, with_callers) ==
        std::vector<config_finding>{unknown_name{kFirst, "caller", "shpo"}});
  CHECK(Found({misspelt}, context).empty());
}

// Guards against an exception that is always overridden by more specific ones.
TEST_CASE("an exception that others override everywhere is found") {
  CHECK(Found({Add("x", Scope("", "a"), "warm_up_ms", "5"),
               Add("y", Scope("s"), "warm_up_ms", "6")},
              {std::nullopt, kFleet}) ==
        std::vector<config_finding>{overridden_exception{kFirst, "y"}});
  CHECK(Found({Add("x", Scope("", "a"), "warm_up_ms", "5"),
               Add("y", Scope("t"), "warm_up_ms", "6")},
              {std::nullopt, kFleet})
            .empty());
}

// Guards against exceptions that are kept, and removed with care, though the
// same value applies without them.
TEST_CASE("entries without effect are found") {
  using finding = config_finding;
  CHECK(Found({Add("x", Scope("s"), "warm_up_ms", "2000")}) ==
        std::vector{
            finding(entry_without_effect{kFirst, "the default", "2000"})});
  CHECK(Found({Add("x", Scope("s"), "warm_up_ms", "5"),
               Add("y", Scope("s", "a"), "warm_up_ms", "5")}) ==
        std::vector{finding(
            entry_without_effect{{2, "add_exception"}, "exception x", "5"})});
  CHECK(Found({set_default{"warm_up_ms", "2000"}}) ==
        std::vector{finding(entry_without_effect{
            {1, "set.value"}, "the built-in default", "2000"})});
  // Here "z" doesn't override "x", which "y" overrides already.
  CHECK(Found({Add("x", Scope("", "a"), "warm_up_ms", "5"),
               Add("y", Scope("s"), "warm_up_ms", "6"),
               Add("z", Scope("s", "a"), "warm_up_ms", "6")}) ==
        std::vector{finding(
            entry_without_effect{{3, "add_exception"}, "exception y", "6"})});
  // Here "y" has the default's value and overrides "x" in a part of its scope.
  CHECK(Found({Add("x", Scope("", "a"), "warm_up_ms", "5"),
               Add("y", Scope("s"), "warm_up_ms", "2000")})
            .empty());
  // Here "z" overrides "x" and "y" in a part of the scope of each.
  CHECK(Found({Add("x", Scope("", "a"), "warm_up_ms", "5"),
               Add("y", Scope("s"), "warm_up_ms", "6"),
               Add("z", Scope("s", "a"), "warm_up_ms", "5")})
            .empty());
}

// Guards against findings that no change has caused, which would hide those
// that it has, and against an exception in force that loses its effect unseen.
TEST_CASE("exceptions in force are found only if a change concerns them") {
  const check_context context{
      InForce({Add("old", Scope("s"), "warm_up_ms", "2000"),
               Add("x", Scope("s"), "moves_per_minute", "5")}),
      std::nullopt};
  CHECK(Found({set_default{"ledger_entries", "500"}}, context).empty());
  CHECK(Found({set_default{"moves_per_minute", "5"}}, context) ==
        std::vector<config_finding>{
            entry_without_effect{{0, "x"}, "the default", "5"}});
}

// Guards against a change that overwrites another operator's.
TEST_CASE("changes against another version are found") {
  const check_context context{InForce({set_default{"warm_up_ms", "5"}}),
                              std::nullopt};
  const auto checked =
      CheckConfigChanges(Changes({set_default{"warm_up_ms", "6"}}, 0), context);
  CHECK(checked.findings ==
        std::vector<config_finding>{
            outdated_base{{1, "base"}, config_version(0), config_version(1)}});
  auto changes = Changes(
      {set_default{"warm_up_ms", "6"}, set_default{"ledger_entries", "500"}},
      7);
  CHECK(CheckConfigChanges(changes, {}).findings.empty());
  changes[1].value().base = config_version(7);
  CHECK(CheckConfigChanges(changes, {}).findings.size() == 1);
}

TEST_CASE("the differences are those of the valid changes") {
  const check_context context{
      InForce({Add("x", Scope("s"), "warm_up_ms", "5")}), std::nullopt};
  const auto checked = CheckConfigChanges(
      Changes({set_default{"moves_per_minute", "0"},
               set_default{"ledger_entries", "1"}, remove_exception{"x"},
               Add("y", Scope("s"), "warm_up_ms", "6")},
              1),
      context);
  CHECK(checked.differences ==
        std::vector<config_difference>{
            {"default moves_per_minute", "30", "0"},
            {"exception x", "warm_up_ms = 5 for service=s", ""},
            {"exception y", "", "warm_up_ms = 6 for service=s"}});
  CHECK(checked.findings.size() == 1);
}

// Guards against a list of which a part is left out unseen.
TEST_CASE("a file holds one change or a list of them") {
  const std::string change =
      R"({"base": 0, "operator": "ann", "reason": "why",
          "set": {"setting": "warm_up_ms", "value": 5}})";
  CHECK(ReadConfigChanges(change).value().size() == 1);
  const auto list =
      ReadConfigChanges("[" + change + ", {\"base\": true}, 3]").value();
  REQUIRE(list.size() == 3);
  const auto found = CheckConfigChanges(list, {}).findings;
  REQUIRE(found.size() == 2);
  CHECK(PlaceOf(found[0]) == entry_place{2, "base"});
  CHECK(PlaceOf(found[1]) == entry_place{3, ""});
  for (const std::string& text :
       {std::string(), std::string("7"), change + "x", "[" + change}) {
    CHECK_FALSE(ReadConfigChanges(text));
  }
  CHECK(ReadConfigChanges("[\n\n  {\"base\" 0}]").error().peer() == "line 3");
}

}  // namespace
}  // namespace bluebell
