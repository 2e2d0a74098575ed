// Serves the endpoint protocol for a number of endpoints of one service.

#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "testing/endpoint_standin.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;

constexpr const char* kUsage = R"(Endpoint stand-in.

Usage:
  endpoint_standin --service=NAME --port=N [options]

Options:
  --service=NAME        The service that the endpoints offer.
  --port=N              Port of the first endpoint; the others follow.
  --count=N             Number of endpoints [default: 1].
  --ip=IP               Where to listen [default: 127.0.0.1].
  --name=PREFIX         Endpoint names are PREFIX-1, PREFIX-2 and so on. The
                        default is the service's name.
  --control=N           Port that serves executions and faults of all endpoints.
  --slots=N             Orders that one endpoint runs at a time [default: 2].
  --queue=N             Orders that wait before it sheds [default: 16].
  --connections=N       Connections that one endpoint accepts [default: 130].
  --accept-ms=N         Time to accept a connection [default: 1].
  --service-ms=X        Mean service time [default: 40].
  --distribution=NAME   fixed, uniform or exponential [default: exponential].
  --urgent-factor=X     Service time of urgent orders [default: 1].
  --normal-factor=X     Service time of normal orders [default: 1].
  --deferrable-factor=X  Service time of deferrable orders [default: 1].
  --cold-factor=X       Factor of service times at the start [default: 1].
  --warm-up-ms=N        Until the factor has fallen to 1 [default: 2000].
  --drain-grace-ms=N    How long a draining endpoint takes orders
                        [default: 2000].
  --answer-bytes=N      Padding in each answer [default: 0].
  --checks-epoch=BOOL   Whether endpoints verify orders [default: true].
  --clock-spread-ms=N   How far clocks of neighbours differ [default: 1000].
)";

class options_reader {
 public:
  explicit options_reader(std::map<std::string, docopt::value> values)
      : values_(std::move(values)) {}

  std::string Text(const std::string& name) const {
    return values_.at(name).asString();
  }
  bool Has(const std::string& name) const {
    return static_cast<bool>(values_.at(name));
  }
  std::uint32_t Count(const std::string& name) const {
    return static_cast<std::uint32_t>(std::stoul(Text(name)));
  }
  double Real(const std::string& name) const { return std::stod(Text(name)); }
  std::int64_t Nanoseconds(const std::string& name) const {
    return static_cast<std::int64_t>(Count(name)) * 1'000'000;
  }

 private:
  std::map<std::string, docopt::value> values_;
};

result<standin_options> OptionsOf(const options_reader& read,
                                  std::uint32_t index) {
  standin_options options;
  options.service = read.Text("--service");
  const auto listen = address::Parse(
      read.Text("--ip") + ":" + std::to_string(read.Count("--port") + index));
  if (!listen) {
    return listen.error();
  }
  options.http = {listen.value(), read.Count("--connections"),
                  milliseconds(read.Count("--accept-ms"))};
  const auto time = service_time::Parse(
      read.Text("--distribution"), read.Real("--service-ms"),
      {read.Real("--urgent-factor"), read.Real("--normal-factor"),
       read.Real("--deferrable-factor")});
  if (!time) {
    return time.error();
  }
  options.time = time.value();
  options.answer_bytes = read.Count("--answer-bytes");
  options.clock_offset_ns = read.Nanoseconds("--clock-spread-ms") * index;
  endpoint_traits& traits = options.traits;
  const std::string prefix =
      read.Has("--name") ? read.Text("--name") : options.service;
  traits.self.endpoint = endpoint_id(prefix + "-" + std::to_string(index + 1));
  traits.self.run = incarnation(static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count()));
  traits.slots = read.Count("--slots");
  traits.queue_limit = read.Count("--queue");
  traits.checks_epoch = read.Text("--checks-epoch") == "true";
  traits.drain_grace_ns = read.Nanoseconds("--drain-grace-ms");
  traits.cold_factor = read.Real("--cold-factor");
  traits.warm_up_ns = read.Nanoseconds("--warm-up-ms");
  return options;
}

using endpoint_list = std::vector<std::shared_ptr<endpoint_standin>>;

http_response ServeControl(const http_request& request,
                           const endpoint_list& endpoints,
                           const execution_log& log) {
  if (request.target() == "/bluebell/executions") {
    return JsonResponse(200, log.ToJson(""));
  }
  const auto faults = ParseEndpointFaults(request.body());
  if (request.target() != "/bluebell/faults" || !faults) {
    return JsonResponse(400, "{}");
  }
  bool applied = false;
  for (const auto& endpoint : endpoints) {
    if (endpoint->name() == faults.value().endpoint) {
      applied = endpoint->Apply(faults.value()).has_value();
    }
  }
  return JsonResponse(applied ? 200 : 404, "{}");
}

result<endpoint_list> StartAll(asio::io_context& io,
                               const options_reader& read,
                               const std::shared_ptr<execution_log>& log) {
  endpoint_list endpoints;
  for (std::uint32_t index = 0; index < read.Count("--count"); ++index) {
    const auto options = OptionsOf(read, index);
    if (!options) {
      return options.error();
    }
    auto started = endpoint_standin::Start(io, options.value(), log);
    if (!started) {
      return started.error();
    }
    endpoints.push_back(started.value());
  }
  return endpoints;
}

int Run(const options_reader& read) {
  asio::io_context io;
  const auto log = std::make_shared<execution_log>();
  const auto endpoints = StartAll(io, read, log);
  if (!endpoints) {
    std::cerr << endpoints.error() << '\n';
    return 1;
  }
  std::shared_ptr<http_server> control;
  if (read.Has("--control")) {
    const auto listen =
        address::Parse(read.Text("--ip") + ":" + read.Text("--control"));
    auto started = http_server::Start(
        io, {listen.value(), 64, milliseconds(0)},
        [&](const http_request& request, const http_responder& respond) {
          respond(ServeControl(request, endpoints.value(), *log));
        });
    if (!started) {
      std::cerr << started.error() << '\n';
      return 1;
    }
    control = started.value();
  }
  asio::signal_set stop(io, SIGTERM, SIGINT);
  stop.async_wait([&](boost::system::error_code, int) { io.stop(); });
  std::cout << "ready" << std::endl;
  io.run();
  return 0;
}

}  // namespace
}  // namespace bluebell

int main(int argc, char** argv) {
  try {
    return bluebell::Run(bluebell::options_reader(
        docopt::docopt(bluebell::kUsage, {argv + 1, argv + argc})));
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
