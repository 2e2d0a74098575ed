#include "bluebell/ctl/run_command.h"

#include <deque>
#include <sstream>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/config/config_change_json.h"
#include "bluebell/config/fleet_config.h"

namespace bluebell::ctl {
namespace {

constexpr const char* kWell = R"({"daemon":"a-1","domain":"a","region":"r",
  "config_version":7,"daemons":[
  {"id":"a-1","domain":"a","live":true,"config_version":7,"last_heard_ms":0},
  {"id":"b-1","domain":"b","live":true,"config_version":7,"last_heard_ms":80}],
  "endpoints":[{"id":"e-1","service":"s","domain":"a","condition":"serving",
  "dispatcher":"a-1"}],"services":[{"name":"s","keyed":true,"slices":4,
  "owned":4,"moving":0,"unassigned":0,"table_version":3,"proof_age_ms":90}],
  "store":{"reachable":true,"last_read_ms":90}})";

std::string Replaced(std::string text,
                     const std::string& from,
                     const std::string& to) {
  const std::size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// A daemon that gives prepared replies in turn and keeps what it was sent.
class scripted_daemon {
 public:
  void Expect(std::variant<admin_reply, error> reply) {
    replies_.push_back(std::move(reply));
  }
  void Expect(unsigned status, const std::string& body) {
    Expect(admin_reply{status, body, "127.0.0.1:1"});
  }

  exit_status Run(const command& what, bool json = false) {
    const surroundings world{
        [this](const admin_request& wanted) -> result<admin_reply> {
          seen.push_back(wanted);
          REQUIRE_FALSE(replies_.empty());
          const auto reply = replies_.front();
          replies_.pop_front();
          if (const auto* failed = std::get_if<error>(&reply)) {
            return *failed;
          }
          return std::get<admin_reply>(reply);
        },
        [this] { return now; },
        [this](milliseconds pause) { now += pause; },
        [this](const std::string& path) -> result<std::string> {
          if (path != "changes.json") {
            return error(errc::kNotFound, step::kParseConfig, path, "");
          }
          return file;
        },
        out,
        err};
    return RunCommand({what, admin, json}, world);
  }

  bool Said(const std::string& text) const {
    return out.str().find(text) != std::string::npos;
  }
  bool Complained(const std::string& text) const {
    return err.str().find(text) != std::string::npos;
  }

  std::vector<admin_request> seen;
  instant now;
  std::vector<address> admin;
  std::string file;
  std::ostringstream out;
  std::ostringstream err;

 private:
  std::deque<std::variant<admin_reply, error>> replies_;
};

const change_options kWhy{"why", "ann", {}};

TEST_CASE("a change names the version in force, or the one the operator saw") {
  scripted_daemon daemon;
  daemon.Expect(200, fleet_config().ToJson());
  daemon.Expect(200, R"({"version":1})");
  CHECK(daemon.Run(config_set_command{"moves_per_minute", "0", kWhy}) ==
        exit_status::kOk);
  CHECK(ParseConfigChange(daemon.seen.at(1).body).value() ==
        config_change{config_version(0), "ann", "why",
                      set_default{"moves_per_minute", "0"}});
  CHECK(daemon.Said("config wait 1"));
  daemon.Expect(200, R"({"version":6})");
  CHECK(daemon.Run(except_remove_command{
            "x", {"why", "ann", config_version(5)}}) == exit_status::kOk);
  CHECK(ParseConfigChange(daemon.seen.at(2).body).value().base ==
        config_version(5));
}

TEST_CASE("refusals, conflicts and lost replies differ in exit status") {
  scripted_daemon daemon;
  const command change =
      config_set_command{"drain", "true", {"why", "ann", config_version(5)}};
  daemon.Expect(400, R"({"error":"invalid argument","step":"change_config",
                         "peer":"drain","detail":"only exceptions"})");
  CHECK(daemon.Run(change) == exit_status::kRefused);
  CHECK(daemon.Complained(
      "change_config drain: invalid argument (only exceptions)"));
  daemon.Expect(409, R"({"error":"conflict","detail":"6 by bob"})");
  CHECK(daemon.Run(change) == exit_status::kConflict);
  CHECK(daemon.Complained("6 by bob"));
  daemon.Expect(error(errc::kUnavailable, step::kConnect, "127.0.0.1:1", ""));
  CHECK(daemon.Run(change) == exit_status::kUnreachable);
  CHECK(daemon.Complained("connect 127.0.0.1:1"));
  CHECK_FALSE(daemon.Complained("may have taken effect"));
  daemon.Expect(error(errc::kTimeout, step::kReadReply, "127.0.0.1:1", ""));
  CHECK(daemon.Run(change) == exit_status::kUnreachable);
  CHECK(daemon.Complained("may have taken effect"));
}

TEST_CASE("wait ends when the last live daemon follows, not before") {
  scripted_daemon daemon;
  const std::string behind =
      Replaced(Replaced(kWell, R"("config_version":7,"last_heard_ms":0)",
                        R"("config_version":8,"last_heard_ms":0)"),
               R"("id":"b-1")", R"("id":"b-2")");
  daemon.Expect(200, behind);
  daemon.Expect(200,
                Replaced(behind, R"("config_version":7,"last_heard_ms":80)",
                         R"("config_version":8,"last_heard_ms":80)"));
  const command wait = config_wait_command{config_version(8), seconds(5)};
  CHECK(daemon.Run(wait) == exit_status::kOk);
  CHECK(daemon.seen.size() == 2);
}

TEST_CASE("wait names who is missing and doesn't wait for the lost") {
  scripted_daemon daemon;
  const std::string lost = Replaced(kWell, R"("domain":"b","live":true)",
                                    R"("domain":"b","live":false)");
  daemon.Expect(200, lost);
  CHECK(daemon.Run(config_wait_command{config_version(7), seconds(0)}) ==
        exit_status::kOk);
  CHECK(daemon.Said("not counted: b-1"));
  daemon.Expect(200, kWell);
  daemon.Expect(200, kWell);
  CHECK(daemon.Run(config_wait_command{config_version(8), milliseconds(150)}) ==
        exit_status::kWaitTimedOut);
  CHECK(daemon.Complained("a-1 (has 7), b-1 (has 7)"));
}

TEST_CASE("a misspelt endpoint is not drained") {
  scripted_daemon daemon;
  daemon.Expect(200, kWell);
  CHECK(daemon.Run(drain_command{endpoint_id("e-2"), kWhy}) ==
        exit_status::kRefused);
  daemon.Expect(200, kWell);
  daemon.Expect(200, fleet_config().ToJson());
  daemon.Expect(200, R"({"version":1})");
  CHECK(daemon.Run(drain_command{endpoint_id("e-1"), kWhy}) ==
        exit_status::kOk);
  const auto change = ParseConfigChange(daemon.seen.back().body).value();
  CHECK(fleet_config()
            .Apply(change, change_id("c"), wall_instant())
            .value()
            .ValuesFor({service_name("s"), domain_name("a"), endpoint_id("e-1"),
                        caller_name()})
            .drain);
}

const config_check_command kCheck{"changes.json"};
constexpr const char* kClean = R"({"base":0,"operator":"ann","reason":"why",
    "add_exception":{"name":"x","scope":{"endpoint":"e-1"},
    "setting":"warm_up_ms","value":5}})";

// Guards against scripts that send changes in which something was found, or a
// file that wasn't read.
TEST_CASE("the check of a file has an exit status for each outcome") {
  scripted_daemon alone;
  alone.file = kClean;
  CHECK(alone.Run(kCheck) == exit_status::kOk);
  CHECK(alone.Said("nothing found"));
  CHECK(alone.Said("built-in defaults"));
  alone.file = Replaced(kClean, ":5", ":-5");
  CHECK(alone.Run(kCheck) == exit_status::kFindings);
  CHECK(alone.Said("change 1, add_exception.value: invalid: \"-5\""));
  alone.file = Replaced(kClean, "\"why\",", "\"why\"");
  CHECK(alone.Run(kCheck) == exit_status::kUnreadableFile);
  CHECK(alone.Complained("changes.json, line 2"));
  CHECK(alone.Run(config_check_command{"none"}) ==
        exit_status::kUnreadableFile);
  CHECK(alone.seen.empty());
}

// Guards against a check that sends a change, or that leaves out what the
// daemon knows.
TEST_CASE("the check of a file only reads from the daemon") {
  scripted_daemon daemon;
  daemon.admin.push_back(address::Parse("127.0.0.1:1").value());
  daemon.file = kClean;
  daemon.Expect(200, fleet_config().ToJson());
  daemon.Expect(200, kWell);
  CHECK(daemon.Run(kCheck) == exit_status::kOk);
  CHECK(daemon.Said("VERSION 0"));
  CHECK(daemon.Said("warm_up_ms = 5 for endpoint=e-1"));
  daemon.file = Replaced(kClean, "e-1", "e-2");
  daemon.Expect(200, fleet_config().ToJson());
  daemon.Expect(200, kWell);
  CHECK(daemon.Run(kCheck, true) == exit_status::kFindings);
  CHECK(daemon.Said(R"("kind":"unknown_name","change":1)"));
  CHECK(daemon.Said(R"("what":"exception x","before":"","after":)"));
  daemon.Expect(error(errc::kUnavailable, step::kConnect, "127.0.0.1:1", ""));
  CHECK(daemon.Run(kCheck) == exit_status::kUnreachable);
  for (const admin_request& each : daemon.seen) {
    CHECK(each.method == "GET");
  }
}

TEST_CASE("a failure domain with a live daemon can't be declared lost") {
  scripted_daemon daemon;
  const domain_lost_command lost{domain_name("b"), "why", "ann"};
  daemon.Expect(200, kWell);
  CHECK(daemon.Run(lost) == exit_status::kRefused);
  CHECK(daemon.Complained("b-1 is live"));
  daemon.Expect(200, Replaced(kWell, R"("domain":"b","live":true)",
                              R"("domain":"b","live":false)"));
  daemon.Expect(200, R"({"declared":true})");
  CHECK(daemon.Run(lost) == exit_status::kOk);
  CHECK(daemon.seen.back().target == "/domain-lost");
}

TEST_CASE("status names each thing that is not well") {
  scripted_daemon daemon;
  const std::string metrics =
      "bluebell_requests_total{service=\"s\",rank=\"urgent\","
      "outcome=\"answer\"} ";
  daemon.Expect(200, kWell);
  daemon.Expect(200, metrics + "5\n");
  daemon.Expect(200, metrics + "25\n");
  CHECK(daemon.Run(status_command{}) == exit_status::kOk);
  CHECK(daemon.Said("all is well"));
  CHECK(daemon.Said("urgent      well"));
  std::string ill =
      Replaced(kWell, R"("reachable":true)", R"("reachable":false)");
  ill = Replaced(ill, R"("domain":"b","live":true)",
                 R"("domain":"b","live":false)");
  ill = Replaced(ill, "serving", "lost");
  ill = Replaced(ill, R"("moving":0)", R"("moving":1)");
  ill = Replaced(ill, R"("proof_age_ms":90)", R"("proof_age_ms":900)");
  daemon.Expect(200, ill);
  daemon.Expect(200, "");
  daemon.Expect(200, Replaced(metrics, "answer", "not_run") +
                         "4\nbluebell_invariant_violations_total{"
                         "invariant=\"one owner\"} 2\n");
  CHECK(daemon.Run(status_command{}) == exit_status::kOk);
  for (const char* problem :
       {"8 problems", "store: last read", "failure domain b: no daemon",
        "daemon not heard in b: b-1", "endpoint lost in a: e-1",
        "1 of 4 slices without owner", "last proved current 900 ms ago",
        "rank urgent: 4 requests refused", "\"one owner\" did not hold 2"}) {
    INFO(problem);
    CHECK(daemon.Said(problem));
  }
}

TEST_CASE("explain escapes the key and shows owner, cause and evidence") {
  scripted_daemon daemon;
  daemon.Expect(200, R"({"service":"s","hash":"01","slice":{"first":"00",
      "last":"0f"},"state":"moving","owner":"e-1","domain":"a","epoch":4,
      "since_ms":12,"cause":"endpoint_lost","dispatcher":"a-1",
      "evidence":["table version 3"]})");
  CHECK(daemon.Run(explain_key_command{service_name("s"), "a b&c=\xC3\xA9"}) ==
        exit_status::kOk);
  CHECK(daemon.seen.back().target ==
        "/explain?service=s&key=a%20b%26c%3D%C3%A9");
  CHECK(daemon.Said("moving, away from e-1 in a, epoch 4"));
  CHECK(daemon.Said("evidence: table version 3"));
}

TEST_CASE("a request that no daemon remembers is not reported as explained") {
  scripted_daemon daemon;
  const command explain = explain_request_command{
      request_id::Parse("01931e0c-3c1a-7c1e-8f00-0123456789ab").value()};
  daemon.Expect(200, "[]");
  CHECK(daemon.Run(explain) == exit_status::kRefused);
  daemon.Expect(200, R"({"decisions":[{"unix_ms":1796380060000,
      "step":"dispatch","service":"s","rank":"urgent","endpoint":"e-1",
      "run":5,"epoch":3,"why":"owner of the slice"}]})");
  CHECK(daemon.Run(explain) == exit_status::kOk);
  CHECK(daemon.Said("2026-12-04T10:27:40.000Z  dispatch  s        urgent"));
}

}  // namespace
}  // namespace bluebell::ctl
