#include "bluebell/settings/daemon_settings.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

namespace bluebell {
namespace {

constexpr std::string_view kMinimalSettings = R"({
  "id": "a-1", "domain": "a", "region": "r",
  "caller_listen": "127.0.0.1:8080", "admin_listen": "127.0.0.1:8081",
  "peer_listen": "127.0.0.1:8082", "platform": "127.0.0.1:9000",
  "peers": [{"id": "b-1", "domain": "b", "peer_address": "127.0.0.1:8182"}],
  "services": [{"name": "tracker", "slots": 2}], "timing": {}})";

using problems = std::vector<settings_problem>;

problems ProblemsOf(std::string_view text) {
  const auto loaded = daemon_settings::Parse(text);
  const auto* found = std::get_if<problems>(&loaded);
  return found == nullptr ? problems() : *found;
}

// Sets the value at the JSON pointer, for example "/timing/lease_term_ms".
void SetAt(boost::json::value& file,
           std::string_view pointer,
           boost::json::value value) {
  const std::size_t slash = pointer.rfind('/');
  boost::json::value& parent = file.at_pointer(pointer.substr(0, slash));
  parent.as_object()[pointer.substr(slash + 1)] = std::move(value);
}

// The problems of kMinimalSettings with the value at `pointer` replaced.
problems ProblemsWith(std::string_view pointer, std::string_view value) {
  boost::json::value file = boost::json::parse(kMinimalSettings);
  SetAt(file, pointer, boost::json::parse(value));
  return ProblemsOf(boost::json::serialize(file));
}

bool HasProblemAt(const problems& found, std::string_view path) {
  return std::any_of(found.begin(), found.end(), [path](const auto& problem) {
    return problem.path == path;
  });
}

TEST_CASE("the example files are valid and have the documented sizes") {
  const std::string name = GENERATE("bluebelld.json", "bluebelld-bzh.json");
  // Tests run in the root folder of the repository.
  std::ifstream in("examples/" + name);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  CHECK(ProblemsOf(text).empty());
  const auto loaded = daemon_settings::Parse(text);
  const auto& settings = std::get<daemon_settings>(loaded);
  CHECK(settings.services.size() == 3);
  CHECK(settings.timing == timing_settings());
  CHECK_FALSE(settings.services[2].keyed);
}

TEST_CASE("omitted fields have their defaults and given ones are read") {
  const auto loaded = daemon_settings::Parse(kMinimalSettings);
  REQUIRE(std::holds_alternative<daemon_settings>(loaded));
  const auto& settings = std::get<daemon_settings>(loaded);
  CHECK(settings.peers.at(0).peer_address.port() == 8182);
  CHECK(settings.services.at(0).keyed);
  CHECK(settings.log_level == "info");
}

TEST_CASE("all problems of a file are reported") {
  const problems found = ProblemsOf(R"({
    // Nearly all values are invalid.
    "id": "", "domain": 7, "caller_listen": "localhost:80",
    "admin_listen": "127.0.0.1:0", "peer_listen": "0.0.0.0:8082",
    "platform": "127.0.0.1:9000", "colour": "blue",
    "services": [{"name": "a/b", "slots": 0}, {"name": "ok", "slotz": 2}, 3],
    "timing": {"lease_term_ms": 1.5}, "traffic_threads": -1,
    "dispatch_policy": "lifo"})");
  for (const char* path :
       {"id", "domain", "region", "caller_listen", "admin_listen",
        "peer_listen", "colour", "services[0].name", "services[0].slots",
        "services[1].slotz", "services[2]", "timing.lease_term_ms",
        "traffic_threads", "dispatch_policy"}) {
    INFO(path);
    CHECK(HasProblemAt(found, path));
  }
  CHECK(found.size() == 14);
}

TEST_CASE("a problem states the path, the value and the allowed values") {
  const problems found = ProblemsWith("/services/0/slots", "0");
  REQUIRE(found.size() == 1);
  CHECK(found[0] == settings_problem{"services[0].slots", "0",
                                     "a whole number from 1 to 1024"});
  CHECK(Catch::Detail::stringify(found[0]) ==
        "services[0].slots: 0 is not allowed; allowed: a whole number from 1 "
        "to 1024");
}

TEST_CASE("a syntax error is reported with its line") {
  const problems found = ProblemsOf("{\n  \"id\": \"a\",\n  \"domain\" 7\n}");
  REQUIRE(found.size() == 1);
  CHECK(found[0].path.find("line 3") == 0);
  CHECK(ProblemsOf("").size() == 1);
  CHECK(ProblemsOf("[]").size() == 1);
  CHECK(ProblemsOf(std::string(kMinimalSettings) + " {}").size() == 1);
}

TEST_CASE("a duplicate name is reported") {
  std::string text(kMinimalSettings);
  text.replace(text.find(R"("slots": 2)"), 10,
               "\"slots\": 2, // \"slots\"\n\"keyed\": true, \"slots\": 3");
  const problems found = ProblemsOf(text);
  REQUIRE(found.size() == 1);
  CHECK(found[0].path == "services[0].slots");
}

TEST_CASE("duplicate ids and conflicting addresses are refused") {
  CHECK(HasProblemAt(ProblemsWith("/peers/0/id", R"("a-1")"), "peers[0].id"));
  CHECK(
      HasProblemAt(ProblemsWith("/peers/0/peer_address", R"("127.0.0.1:8082")"),
                   "peers[0].peer_address"));
  CHECK(HasProblemAt(ProblemsWith("/admin_listen", R"("127.0.0.1:8080")"),
                     "admin_listen"));
  CHECK(HasProblemAt(ProblemsWith("/admin_listen", R"("0.0.0.0:8080")"),
                     "admin_listen"));
  CHECK(HasProblemAt(ProblemsWith("/platform", R"("127.0.0.1:8082")"),
                     "platform"));
  const std::string service = R"({"name": "tracker"})";
  CHECK(HasProblemAt(
      ProblemsWith("/services", "[" + service + "," + service + "]"),
      "services[1].name"));
}

TEST_CASE(
    "intervals that break the rules for leases or freshness are refused") {
  CHECK(HasProblemAt(ProblemsWith("/timing/lease_renewal_ms", "500"),
                     "timing.lease_renewal_ms"));
  CHECK(HasProblemAt(ProblemsWith("/timing/heartbeat_interval_ms", "500"),
                     "timing.heartbeat_interval_ms"));
  CHECK(HasProblemAt(ProblemsWith("/timing/table_read_interval_ms", "600"),
                     "timing.table_read_interval_ms"));
  CHECK(HasProblemAt(ProblemsWith("/timing/table_read_interval_ms", "500"),
                     "timing.table_freshness_ms"));
  CHECK(HasProblemAt(ProblemsWith("/timing/domain_autonomy_ms", "600"),
                     "timing.table_freshness_ms"));
  CHECK(HasProblemAt(ProblemsWith("/timing/proposer_step_ms", "500"),
                     "timing.proposer_step_ms"));
  CHECK(ProblemsWith("/timing/lease_renewal_ms", "499").empty());
}

TEST_CASE("owned keys without epoch checks need a limit for delayed requests") {
  boost::json::value file = boost::json::parse(kMinimalSettings);
  SetAt(file, "/timing/max_order_delay_ms", 0);
  CHECK(ProblemsOf(boost::json::serialize(file)).empty());
  SetAt(file, "/services/0/checks_epoch", false);
  CHECK(HasProblemAt(ProblemsOf(boost::json::serialize(file)),
                     "timing.max_order_delay_ms"));
}

}  // namespace
}  // namespace bluebell
