// The main program of the gateway daemon, which runs on hosts of the users'
// platform.

#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/gateway/gateway_daemon.h"
#include "bluebell/net/task.h"
#include "bluebell/settings/gateway_settings.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/log_level.h"
#include "platform/settings_path.h"

namespace {

constexpr const char* kUsage = R"(bluebellgw, the gateway daemon.

Usage:
  bluebellgw [--check] [SETTINGS]
  bluebellgw --help

Without SETTINGS the platform says where the settings are.

Options:
  --check  Only check the settings file.
)";

constexpr int kExitBadSettings = 2;

// Reads the settings file. Prints the problems and returns nothing if the file
// cannot be read or is invalid.
std::optional<bluebell::gateway_settings> Load(const std::string& file) {
  std::ifstream in(file);
  if (!in) {
    std::cerr << file << ": can't be read\n";
    return std::nullopt;
  }
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  const auto parsed = bluebell::gateway_settings::Parse(text);
  if (const auto* settings = std::get_if<bluebell::gateway_settings>(&parsed)) {
    return *settings;
  }
  for (const auto& problem :
       std::get<std::vector<bluebell::settings_problem>>(parsed)) {
    std::cerr << file << ": " << problem << '\n';
  }
  return std::nullopt;
}

int Serve(const std::string& file, const bluebell::gateway_settings& settings) {
  bluebell::ConfigureLog(bluebell::ParseLogLevel(settings.log_level)
                             .value_or(bluebell::log_level::kInfo),
                         "");
  boost::asio::io_context io{1};
  auto started = bluebell::gateway_daemon::Start(io, settings);
  if (!started) {
    std::cerr << started.error() << '\n';
    return 1;
  }
  bluebell::gateway_daemon& daemon = *started.value();
  boost::asio::signal_set stop_signals(io, SIGTERM, SIGINT);
  stop_signals.async_wait(
      [&](boost::system::error_code failure, int /*number*/) {
        if (!failure) {
          daemon.Shutdown([&io] { io.stop(); });
        }
      });
  boost::asio::signal_set reload_signals(io, SIGHUP);
  std::function<void()> wait_for_reload = [&] {
    reload_signals.async_wait(
        [&](boost::system::error_code failure, int /*number*/) {
          if (failure) {
            return;
          }
          if (const auto changed = Load(file)) {
            daemon.Reload(*changed);
          }
          wait_for_reload();
        });
  };
  wait_for_reload();
  bluebell::RunHandlers(io, "control");
  bluebell::FlushLog();
  // Requests that have not ended within the time for stopping are aborted here.
  // Their coroutines refer to each other, so they are not destroyed one by one.
  std::_Exit(0);
}

int Run(const std::string& file, bool check_only) {
  const auto settings = Load(file);
  if (!settings) {
    return kExitBadSettings;
  }
  return check_only ? 0 : Serve(file, *settings);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const auto arguments =
        docopt::docopt(kUsage, {argv + 1, argv + argc}, true);
    const docopt::value& file = arguments.at("SETTINGS");
    return Run(file ? file.asString() : bluebell::platform::SettingsPath(),
               arguments.at("--check").asBool());
  } catch (const std::exception& failure) {
    std::cerr << "bluebellgw: " << failure.what() << '\n';
    return 1;
  }
}
