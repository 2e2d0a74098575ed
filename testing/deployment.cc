#include "testing/deployment.h"

#include <algorithm>
#include <boost/beast/http/verb.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

#include "bluebell/core/request_id.h"
#include "testing/http_call.h"

namespace bluebell {

namespace {

namespace json = boost::json;
using boost::beast::http::verb;

constexpr unsigned kHttp11 = 11;

result<bool> Succeeded(const result<http_response>& reply) {
  if (!reply) {
    return reply.error();
  }
  return reply.value().result_int() == 200;
}

}  // namespace

void PauseBriefly() {
  std::this_thread::sleep_for(milliseconds(50));
}

deployment::deployment(const deployment_plan& plan,
                       std::string build,
                       std::string folder)
    : layout_(plan), build_(std::move(build)), folder_(std::move(folder)) {}

result<std::unique_ptr<deployment>> deployment::Start(
    const deployment_plan& plan,
    const std::string& build,
    const std::string& folder) {
  std::filesystem::create_directories(folder);
  auto region =
      std::unique_ptr<deployment>(new deployment(plan, build, folder));
  result<bool> started = region->StartHelpers();
  if (started) {
    started = region->StartDaemons();
  }
  if (!started) {
    return started.error();
  }
  return region;
}

result<child_process> deployment::Launch(
    const std::string& program,
    const std::vector<std::string>& arguments,
    const std::string& log) const {
  return child_process::Start(build_ + "/" + program, arguments,
                              folder_ + "/" + log + ".log");
}

std::string deployment::SettingsFile(std::size_t daemon) const {
  return folder_ + "/" + layout_.DaemonName(daemon) + ".json";
}

result<child_process> deployment::LaunchDaemon(std::size_t index) const {
  return Launch("programs/bluebelld", {SettingsFile(index)},
                layout_.DaemonName(index));
}

result<child_process> deployment::LaunchService(std::size_t index) const {
  const deployed_service& service = plan().services[index];
  const std::string& name = service.spec.name.value();
  std::vector<std::string> arguments = {
      "--service=" + name,
      "--port=" + std::to_string(layout_.EndpointAddress(index, 0).port()),
      "--count=" + std::to_string(service.endpoints),
      "--control=" + std::to_string(layout_.ServiceControl(index).port()),
      "--slots=" + std::to_string(service.spec.slots),
      "--connections=" + std::to_string(service.spec.connections),
      "--service-ms=" + std::to_string(service.service_ms),
      std::string("--checks-epoch=") +
          (service.spec.checks_epoch ? "true" : "false")};
  arguments.insert(arguments.end(), service.options.begin(),
                   service.options.end());
  return Launch("testing/endpoint_standin", arguments, "endpoints-" + name);
}

result<bool> deployment::StartHelpers() {
  std::vector<result<child_process>> started;
  started.push_back(Launch("testing/platform_standin",
                           {layout_.Platform().ToString()}, "platform"));
  if (plan().with_proxy) {
    std::vector<std::string> arguments = layout_.routes();
    arguments.insert(arguments.begin(),
                     "--control=" + layout_.ProxyControl().ToString());
    started.push_back(Launch("testing/fault_proxy", arguments, "proxy"));
  }
  for (std::size_t index = 0; index < plan().services.size(); ++index) {
    started.push_back(LaunchService(index));
  }
  for (result<child_process>& one : started) {
    if (!one) {
      return one.error();
    }
    helpers_.push_back(std::move(one).value());
  }
  const bool listed = WaitUntil(seconds(10), [&] {
    const auto put = Succeeded(
        HttpCall(layout_.Platform(), verb::put, "/hosts", layout_.HostsJson()));
    return put && put.value();
  });
  if (!listed) {
    return error(errc::kTimeout, step::kReadHosts,
                 layout_.Platform().ToString(),
                 "the platform stand-in takes no list of hosts");
  }
  return true;
}

result<bool> deployment::StartDaemons() {
  for (std::size_t index = 0; index < daemon_count(); ++index) {
    std::ofstream(SettingsFile(index)) << layout_.SettingsFor(index);
    auto started = LaunchDaemon(index);
    if (!started) {
      return started.error();
    }
    daemons_.push_back(std::move(started).value());
  }
  return true;
}

result<bool> deployment::RestartDaemon(std::size_t index) {
  auto started = LaunchDaemon(index);
  if (!started) {
    return started.error();
  }
  daemons_.at(index) = std::move(started).value();
  return true;
}

std::vector<address> deployment::CallerAddresses() const {
  std::vector<address> all;
  for (std::size_t index = 0; index < daemon_count(); ++index) {
    all.push_back(layout_.CallerAddress(index));
  }
  return all;
}

bool deployment::WaitReady(milliseconds limit) const {
  std::mt19937_64 random(std::random_device{}());
  const auto answers = [&](std::size_t probe, const std::string& service) {
    http_request request(verb::post, "/v1/" + service + "/ready", kHttp11);
    request.set("Bluebell-Key", "ready-" + std::to_string(probe));
    request.set(
        "Idempotency-Key",
        request_id::Make(std::chrono::system_clock::now(), {random(), random()})
            .ToString());
    const auto reply = HttpCall(layout_.CallerAddress(probe % daemon_count()),
                                request, seconds(2));
    return reply && reply.value()["Bluebell-Outcome"] == "answer";
  };
  return WaitUntil(limit, [&] {
    for (const deployed_service& service : plan().services) {
      // Enough keys to reach every endpoint with high probability.
      const std::size_t probes =
          daemon_count() + std::size_t{4} * service.endpoints;
      for (std::size_t probe = 0; probe < probes; ++probe) {
        if (!answers(probe, service.spec.name.value())) {
          return false;
        }
      }
    }
    return true;
  });
}

std::size_t deployment::ServiceIndex(const std::string& service) const {
  for (std::size_t index = 0; index < plan().services.size(); ++index) {
    if (plan().services[index].spec.name.value() == service) {
      return index;
    }
  }
  throw std::invalid_argument("unknown service " + service);
}

result<bool> deployment::SetEndpointFaults(const std::string& service,
                                           std::size_t index,
                                           const std::string& faults) const {
  json::object body = json::parse(faults).as_object();
  body["endpoint"] = service + "-" + std::to_string(index + 1);
  return Succeeded(HttpCall(layout_.ServiceControl(ServiceIndex(service)),
                            verb::post, "/bluebell/faults",
                            json::serialize(body)));
}

result<bool> deployment::DrainEndpoint(const std::string& service,
                                       std::size_t index) const {
  return Succeeded(
      HttpCall(layout_.EndpointAddress(ServiceIndex(service), index),
               verb::post, "/bluebell/drain", "{}"));
}

result<bool> deployment::SetProxyFault(const std::vector<std::string>& routes,
                                       const std::string& fault) const {
  json::object body = json::parse(fault).as_object();
  body["routes"] = json::array(routes.begin(), routes.end());
  return Succeeded(HttpCall(layout_.ProxyControl(), verb::post, "/faults",
                            json::serialize(body)));
}

result<bool> deployment::SetPlatformFaults(const std::string& body) const {
  return Succeeded(HttpCall(layout_.Platform(), verb::post, "/faults", body));
}

result<std::vector<execution>> deployment::Executions() const {
  std::vector<execution> all;
  for (std::size_t index = 0; index < plan().services.size(); ++index) {
    const auto reply = HttpCall(layout_.ServiceControl(index), verb::get,
                                "/bluebell/executions");
    if (!reply) {
      return reply.error();
    }
    const auto rows = ParseExecutions(reply.value().body());
    if (!rows) {
      return rows.error();
    }
    all.insert(all.end(), rows.value().begin(), rows.value().end());
  }
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
    return a.begin_ns < b.begin_ns;
  });
  return all;
}

}  // namespace bluebell
