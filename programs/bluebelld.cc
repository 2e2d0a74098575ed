// The main program of the router's daemon.

#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/core/overloaded.h"
#include "bluebell/daemon/daemon.h"
#include "bluebell/settings/daemon_settings.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/log_level.h"

namespace {

constexpr const char* kUsage = R"(bluebelld, the router's daemon.

Usage:
  bluebelld [--check] SETTINGS
  bluebelld --help

Options:
  --check  Only check the settings file.
)";

constexpr int kExitBadSettings = 2;

int PrintProblems(const std::string& file,
                  const std::vector<bluebell::settings_problem>& problems) {
  for (const bluebell::settings_problem& problem : problems) {
    std::cerr << file << ": " << problem << '\n';
  }
  return kExitBadSettings;
}

int Serve(const bluebell::daemon_settings& settings) {
  bluebell::ConfigureLog(bluebell::ParseLogLevel(settings.log_level)
                             .value_or(bluebell::log_level::kInfo),
                         settings.log_file);
  boost::asio::io_context io{1};
  auto started = bluebell::daemon::Start(io, settings);
  if (!started) {
    std::cerr << started.error() << '\n';
    return 1;
  }
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code failure, int /*number*/) {
    if (!failure) {
      started.value()->Shutdown([&io] { io.stop(); });
    }
  });
  io.run();
  started.value().reset();
  bluebell::FlushLog();
  return 0;
}

int Run(const std::string& file, bool check_only) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": can't be read\n";
    return kExitBadSettings;
  }
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  const auto parsed = bluebell::daemon_settings::Parse(text);
  return std::visit(
      bluebell::overloaded{
          [&](const bluebell::daemon_settings& settings) {
            return check_only ? 0 : Serve(settings);
          },
          [&](const std::vector<bluebell::settings_problem>& problems) {
            return PrintProblems(file, problems);
          }},
      parsed);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
    return Run(options.at("SETTINGS").asString(),
               options.at("--check").asBool());
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 1;
  }
}
