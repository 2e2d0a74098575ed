// A proxy on loopback that puts faults on connections and datagrams. Tests
// change the faults with `POST /faults` on the control port.

#include <docopt/docopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "testing/fault_proxy.h"
#include "testing/http_server.h"

namespace bluebell {
namespace {

constexpr const char* kUsage = R"(Fault proxy.

Usage:
  fault_proxy --control=ADDRESS ROUTE...

Options:
  --control=ADDRESS  Where POST /faults is served, as IP:PORT.

A route is NAME,LISTEN=TARGET with two addresses; it carries TCP and UDP.
)";

using proxy_ports = std::vector<std::shared_ptr<proxy_port>>;

http_response ServeControl(const http_request& request,
                           const proxy_ports& ports) {
  const auto order = ParseFaultOrder(request.body());
  if (request.target() != "/faults" || !order) {
    return JsonResponse(400, R"({"error":"not a fault order"})");
  }
  std::size_t changed = 0;
  for (const auto& port : ports) {
    if (order.value().Selects(port->name())) {
      if (!port->Apply(order.value())) {
        return JsonResponse(500, R"({"error":"the port can't be opened"})");
      }
      ++changed;
    }
  }
  return JsonResponse(changed > 0 ? 200 : 404,
                      R"({"changed":)" + std::to_string(changed) + "}");
}

template <typename Value>
Value Require(result<Value> outcome) {
  if (!outcome) {
    throw std::runtime_error(outcome.error().ToString());
  }
  return outcome.value();
}

void Run(const std::string& control_address,
         const std::vector<std::string>& routes) {
  boost::asio::io_context io;
  proxy_ports ports;
  for (const std::string& text : routes) {
    ports.push_back(
        Require(proxy_port::Start(io, Require(ParseProxyRoute(text)))));
  }
  const auto control = Require(http_server::Start(
      io, {Require(address::Parse(control_address)), 64, milliseconds(0)},
      [&](const http_request& request, const http_responder& respond) {
        respond(ServeControl(request, ports));
      }));
  boost::asio::signal_set stop(io, SIGTERM, SIGINT);
  stop.async_wait([&](boost::system::error_code, int) { io.stop(); });
  std::cout << "ready" << std::endl;
  io.run();
}

}  // namespace
}  // namespace bluebell

int main(int argc, char** argv) {
  try {
    auto options = docopt::docopt(bluebell::kUsage, {argv + 1, argv + argc});
    bluebell::Run(options.at("--control").asString(),
                  options.at("ROUTE").asStringList());
    return 0;
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
