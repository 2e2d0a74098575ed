#include "review/standins/deployment.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace review {

namespace {

namespace json = boost::json;

// `run` and `template` of deploy/system.toml.
constexpr const char* kProgram = "target/programs/bluebellgw";
constexpr const char* kTemplate = "deploy/gateway.settings";
constexpr milliseconds kPoll{20};

std::string ReadFile(const std::string& name) {
  std::ifstream in(name);
  return {std::istreambuf_iterator<char>(in), {}};
}

}  // namespace

std::string ConfigText(const std::string& version,
                       const std::vector<route_options>& routes,
                       const std::vector<service_options>& services) {
  json::array route_rows;
  for (const route_options& each : routes) {
    route_rows.push_back(json::array{each.name, "review.example", each.prefix,
                                     each.kind, each.timeout_s, each.target_s,
                                     each.priority, nullptr, each.max_attempts,
                                     each.service});
  }
  json::array service_rows;
  for (const service_options& each : services) {
    service_rows.push_back(each.keyed
                               ? json::array{each.name, "/health", 130, "h1",
                                             false, true, 5.0, "call"}
                               : json::array{each.name, "/health", 130, "h1",
                                             false, nullptr, nullptr, nullptr});
  }
  return json::serialize(json::object{
      {"Version", version},
      {"Routes",
       json::object{
           {"Columns", json::array{"Name", "Host", "Prefix", "Kind", "TimeoutS",
                                   "TargetLatencyS", "Priority", "TrafficSplit",
                                   "MaxAttempts", "Service"}},
           {"Rows", route_rows}}},
      {"Services",
       json::object{{"Columns", json::array{"Name", "HealthCheckPath",
                                            "MaxConnections", "Protocol", "Tls",
                                            "Sharded", "WarmS", "Grants"}},
                    {"Rows", service_rows}}},
      {"Limits", json::object{{"MaxHeaderBytes", 16384},
                              {"MaxBodyBytes", 67108864},
                              {"HeaderTimeoutS", 3},
                              {"IdleTimeoutS", 15}}}});
}

gateway::gateway(int number, std::uint16_t store_port, run_record& record)
    : name_("front-zone-a-" + std::to_string(number)),
      store_port_(store_port),
      record_(record),
      front_port_(FreePort()),
      ready_port_(FreePort()),
      peer_port_(FreePort()),
      metrics_port_(FreePort()) {
  // The script gives each run a folder of its own.
  const char* folder = std::getenv("TMPDIR");  // NOLINT(concurrency-mt-unsafe)
  folder_ = folder == nullptr ? "/tmp" : folder;
  Start();
}

gateway::~gateway() {
  Kill();
}

std::string gateway::Settings() const {
  const auto at = [](std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
  };
  const auto quoted = [](const std::string& text) { return '"' + text + '"'; };
  const std::map<std::string, std::string> values{
      {"{{NodeName|json}}", quoted(name_)},
      {"{{Zone|json}}", quoted("zone-a")},
      {"{{ListenAddresses.Front|json}}", quoted(at(front_port_))},
      {"{{ListenAddresses.Ready|json}}", quoted(at(ready_port_))},
      {"{{Ip}}:{{InternalPortRange.0}}", at(peer_port_)},
      {"{{Ip}}:{{InternalPortRange.1}}", at(metrics_port_)},
      {"{{Platform.Address|json}}", quoted(at(store_port_))},
      {"{{Limits.CpuShare|json}}", "0.2"},
      {"{{Limits.MemoryMb|json}}", "260"},
      {"{{Bounds.GraceS|json}}", "6"},
      {"{{Bounds.HoldMaxS|json}}", "10"},
      {"{{Bounds.RetryBudgetRatio|json}}", "0.2"},
      {"{{Bounds.RetryBudgetSlack|json}}", "62"}};
  std::string text = ReadFile(kTemplate);
  for (const auto& [placeholder, value] : values) {
    const std::size_t found = text.find(placeholder);
    if (found != std::string::npos) {
      text.replace(found, placeholder.size(), value);
    }
  }
  return text;
}

void gateway::Start() {
  const std::string settings = folder_ + "/" + name_ + ".settings";
  std::ofstream(settings) << Settings();
  const std::string boot = "BLUEBELLSPAN_BOOT=" + settings;
  const std::string log_file = folder_ + "/" + name_ + ".log";
  std::vector<std::string> environment{boot, "PATH=/usr/bin:/bin", "HOME=/tmp",
                                       "LANG=C"};
  std::vector<char*> variables;
  variables.reserve(environment.size() + 1);
  for (std::string& each : environment) {
    variables.push_back(each.data());
  }
  variables.push_back(nullptr);
  std::string program = kProgram;
  std::vector<char*> arguments{program.data(), nullptr};
  const int log =
      ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  process_ = ::fork();
  if (process_ == 0) {
    // The gateway must not outlive a case that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execve(arguments[0], arguments.data(), variables.data());
    ::_exit(127);
  }
  ::close(log);
  record_.Add(name_ + " started");
}

void gateway::Signal(int number) {
  if (process_ > 0) {
    ::kill(process_, number);
    record_.Add(name_ + " gets signal " + std::to_string(number));
  }
}

bool gateway::HasEnded() {
  if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_) {
    process_ = 0;
    record_.Add(name_ + " has ended");
  }
  return process_ == 0;
}

void gateway::Kill() {
  if (process_ > 0) {
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = 0;
  }
}

bool gateway::WaitReady(milliseconds limit) const {
  const instant until = Now() + limit;
  while (Now() < until) {
    if (const auto link = connection::Open(ready_port_)) {
      link->Write("GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
      const auto answer = link->Read(Now() + milliseconds(500));
      if (answer && answer->status() == 200) {
        return true;
      }
    }
    Sleep(kPoll);
  }
  return false;
}

std::optional<http_message> Call(std::uint16_t port,
                                 const call_options& options,
                                 run_record& record) {
  http_message request{
      options.method + " " + options.path + " HTTP/1.1",
      {{"Host", "review.example"},
       {"X-Attempt-Id", options.attempt},
       {"X-Deadline-Ms", std::to_string(options.limit.count())}},
      options.method == "GET" ? "" : "work"};
  if (options.key) {
    request.headers.push_back({"X-Shard-Key", std::to_string(*options.key)});
  }
  record.Add("client sends " + options.attempt);
  const auto link = connection::Open(port);
  std::optional<http_message> answer;
  if (link && link->Write(Encode(request))) {
    answer = link->Read(Now() + options.limit);
  }
  record.Add("client of " + options.attempt + " gets " +
             (answer ? std::to_string(answer->status()) + " " + answer->body
                     : "no answer"));
  return answer;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr || std::string(value) != "0";
}

void End(int status) {
  std::_Exit(status);
}

}  // namespace review
