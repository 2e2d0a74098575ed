#include "bluebell/ctl/command_line.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace bluebell::ctl {
namespace {

const variables kEnvironment{"127.0.0.1:1,127.0.0.1:2", "ann"};

invocation Parsed(const std::vector<std::string>& arguments) {
  const auto parsed = ParseCommandLine(arguments, kEnvironment);
  REQUIRE(std::holds_alternative<invocation>(parsed));
  return std::get<invocation>(parsed);
}

std::string Refused(const std::vector<std::string>& arguments,
                    const variables& environment = kEnvironment) {
  const auto parsed = ParseCommandLine(arguments, environment);
  REQUIRE(std::holds_alternative<usage_error>(parsed));
  return std::get<usage_error>(parsed).text;
}

TEST_CASE("each command line reads as the command it names") {
  const change_options why{"why", "ann", {}};
  CHECK(Parsed({"status", "--all"}).what == command(status_command{true}));
  CHECK(Parsed({"config", "get"}).what == command(config_get_command{}));
  CHECK(Parsed({"config", "history"}).what ==
        command(config_history_command{}));
  CHECK(Parsed({"config", "wait", "8", "--timeout", "3"}).what ==
        command(config_wait_command{config_version(8), seconds(3)}));
  CHECK(Parsed({"config", "check", "changes.json"}).what ==
        command(config_check_command{"changes.json"}));
  CHECK(Parsed({"config", "set", "drain", "true", "--reason", "why", "--base",
                "7"})
            .what == command(config_set_command{
                         "drain", "true", {"why", "ann", config_version(7)}}));
  config_scope scope;
  scope.service = service_name("s");
  scope.caller = caller_name("c");
  CHECK(Parsed({"except", "add", "n", "--service", "s", "--caller", "c",
                "warm_up_ms", "5", "--reason", "why"})
            .what ==
        command(except_add_command{"n", scope, "warm_up_ms", "5", why}));
  CHECK(Parsed({"except", "remove", "n", "--reason=why"}).what ==
        command(except_remove_command{"n", why}));
  CHECK(Parsed({"drain", "e", "--reason=why"}).what ==
        command(drain_command{endpoint_id("e"), why}));
  CHECK(Parsed({"undrain", "e", "--reason=why"}).what ==
        command(undrain_command{endpoint_id("e"), why}));
  CHECK(Parsed({"placement", "s"}).what ==
        command(placement_command{service_name("s")}));
  CHECK(Parsed({"explain", "s", "k"}).what ==
        command(explain_key_command{service_name("s"), "k"}));
  const std::string id = "01931e0c-3c1a-7c1e-8f00-0123456789ab";
  CHECK(Parsed({"explain", "--request", id}).what ==
        command(explain_request_command{request_id::Parse(id).value()}));
  CHECK(Parsed({"domain-lost", "d", "--reason", "why", "--operator", "bob"})
            .what ==
        command(domain_lost_command{domain_name("d"), "why", "bob"}));
}

TEST_CASE("addresses on the command line replace those of the environment") {
  CHECK(Parsed({"status"}).admin.size() == 2);
  const invocation given = Parsed(
      {"status", "--admin", "127.0.0.1:3", "--admin=127.0.0.1:4", "--json"});
  REQUIRE(given.admin.size() == 2);
  CHECK(given.admin[1].port() == 4);
  CHECK(given.json);
}

// Guards against a check that needs a daemon, and against one that is silently
// made without the daemon that was named.
TEST_CASE("only the check of a file does without an address") {
  const auto parsed = ParseCommandLine({"config", "check", "f"}, {"", "ann"});
  REQUIRE(std::holds_alternative<invocation>(parsed));
  CHECK(std::get<invocation>(parsed).admin.empty());
  CHECK(Parsed({"config", "check", "f"}).admin.size() == 2);
  CHECK(Refused({"config", "check", "f", "--admin", "localhost"}, {"", "ann"})
            .find("IP:PORT") != std::string::npos);
  CHECK(Refused({"config", "get"}, {"", "ann"}).find("BLUEBELL_ADMIN") !=
        std::string::npos);
}

TEST_CASE("wrong usage is refused with the way it would be right") {
  CHECK(Refused({"drain", "e"}).find("--reason") != std::string::npos);
  CHECK(Refused({"drain", "e", "--reason", " "}).find("write why") !=
        std::string::npos);
  CHECK(Refused({"except", "add", "n", "drain", "true", "--reason", "why"})
            .find("scope") != std::string::npos);
  CHECK(Refused({"status"}, {"", "ann"}).find("BLUEBELL_ADMIN") !=
        std::string::npos);
  CHECK(Refused({"status"}, {"localhost:1", "ann"}).find("IP:PORT") !=
        std::string::npos);
  CHECK(Refused({"drain", "e", "--reason", "why"}, {"127.0.0.1:1", ""})
            .find("BLUEBELL_OPERATOR") != std::string::npos);
  CHECK(Refused({"explain", "--request", "4711"}).find("UUID") !=
        std::string::npos);
  CHECK(Refused({"config", "wait", "-1"}).find("VERSION") != std::string::npos);
  CHECK(Refused({"frobnicate"}).find("bluebellctl status") !=
        std::string::npos);
}

}  // namespace
}  // namespace bluebell::ctl
