// The command-line tool that shows and changes a running fleet. The commands
// are implemented in bluebell/ctl.

#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "bluebell/core/overloaded.h"
#include "bluebell/ctl/command_line.h"
#include "bluebell/ctl/run_command.h"

namespace {

using bluebell::ctl::exit_status;

// A daemon answers a change when the store has confirmed it, which can take
// seconds.
constexpr bluebell::milliseconds kReplyTimeout{10'000};

std::string EnvironmentVariable(const char* name) {
  // No other thread runs yet, so the environment does not change meanwhile.
  const char* value = std::getenv(name);  // NOLINT(concurrency-mt-unsafe)
  return value == nullptr ? "" : value;
}

exit_status Execute(const bluebell::ctl::invocation& wanted) {
  const bluebell::ctl::surroundings world{
      bluebell::ctl::MakeHttpChannel(wanted.admin, kReplyTimeout),
      [] { return std::chrono::steady_clock::now(); },
      [](bluebell::milliseconds pause) { std::this_thread::sleep_for(pause); },
      bluebell::ctl::ReadWholeFile,
      std::cout,
      std::cerr};
  return RunCommand(wanted, world);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string named = EnvironmentVariable("BLUEBELL_OPERATOR");
  const bluebell::ctl::variables environment{
      EnvironmentVariable("BLUEBELL_ADMIN"),
      named.empty() ? EnvironmentVariable("USER") : named};
  const auto parsed = bluebell::ctl::ParseCommandLine(
      std::vector<std::string>(argv + 1, argv + argc), environment);
  const exit_status status = std::visit(
      bluebell::overloaded{[](const bluebell::ctl::invocation& wanted) {
                             return Execute(wanted);
                           },
                           [](const bluebell::ctl::help_wanted& help) {
                             std::cout << help.text;
                             return exit_status::kOk;
                           },
                           [](const bluebell::ctl::usage_error& wrong) {
                             std::cerr << wrong.text;
                             return exit_status::kUsage;
                           }},
      parsed);
  return static_cast<int>(status);
}
