// The traffic side of a daemon with fixed endpoints and no control thread, to
// measure what it adds to a request.

#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/parse.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "bluebell/daemon/traffic_plane.h"
#include "bluebell/telemetry/log_event.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "testing/fixed_routes.h"
#include "testing/http_call.h"

namespace {

using namespace bluebell;  // NOLINT(google-build-using-namespace)

constexpr const char* kUsage = R"(Traffic side with fixed endpoints.

Usage:
  fixed_daemon --listen=ADDRESS --endpoint=ADDRESS... [options]

Options:
  --service=NAME  [default: manifest]
  --slots=N       [default: 2]
  --threads=N     [default: 2]
  --log=FILE      Empty: standard output. [default: /dev/null]
  --level=NAME    [default: info]
)";

// Asks an endpoint which instance it is.
result<fixed_endpoint> Discover(const address& where, const daemon_id& self) {
  const auto reply =
      HttpCall(where, boost::beast::http::verb::get, "/bluebell/report");
  if (!reply) {
    return reply.error();
  }
  const auto instance =
      ParseInstance(std::string(reply.value()["Bluebell-Instance"]));
  if (!instance) {
    return error(errc::kMalformedMessage, step::kProbeEndpoint,
                 where.ToString(), "the report names no instance");
  }
  return fixed_endpoint{*instance, where, self, {}};
}

int Run(std::map<std::string, docopt::value> options) {
  const daemon_id self("fixed");
  daemon_settings settings;
  settings.id = self;
  settings.caller_listen =
      address::Parse(options["--listen"].asString()).value();
  settings.traffic_threads =
      static_cast<std::uint32_t>(std::stoul(options["--threads"].asString()));
  service_spec spec;
  spec.name = service_name(options["--service"].asString());
  spec.keyed = false;
  spec.slots =
      static_cast<std::uint32_t>(std::stoul(options["--slots"].asString()));
  spec.connections = 1'000;
  std::vector<fixed_endpoint> endpoints;
  for (const std::string& text : options["--endpoint"].asStringList()) {
    const auto found = Discover(address::Parse(text).value(), self);
    if (!found) {
      std::cerr << found.error() << '\n';
      return 1;
    }
    endpoints.push_back(found.value());
  }
  ConfigureLog(ParseLogLevel(options["--level"].asString()).value(),
               options["--log"].asString());
  metrics_registry metrics;
  auto plane = traffic_plane::Start(settings, metrics,
                                    {[](const exchange_observed& /*seen*/) {},
                                     [](const load_report& /*load*/) {}});
  if (!plane) {
    std::cerr << plane.error() << '\n';
    return 1;
  }
  plane.value()->Publish(FixedRoutes(self, spec, endpoints));
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([](boost::system::error_code /*failure*/, int /*n*/) {});
  io.run();
  std::cout << metrics.Expose();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(docopt::docopt(kUsage, {argv + 1, argv + argc}));
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
