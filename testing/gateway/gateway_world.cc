#include "testing/gateway/gateway_world.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/store_keys.h"
#include "testing/gateway/soak_caller.h"
#include "testing/run_after.h"

namespace bluebell {

namespace {

namespace json = boost::json;

constexpr std::size_t kDomains = 3;
constexpr const char* kKeyedService = "tracker";
// The moved route goes to one of them.
constexpr std::array<const char*, 2> kPlainServices{"booker", "manifest"};
constexpr milliseconds kHeartbeat{500};
constexpr double kSlowestClock = 1.02;
// After three heartbeats of silence an entry is removed.
constexpr milliseconds kEntryLife{1'500};
// A link that was cut may deliver what waited on it.
constexpr milliseconds kThaw{300};
constexpr milliseconds kLastAnswers{2'500};

std::string DomainName(std::size_t index) {
  return "domain-" + std::to_string(index % kDomains);
}

json::array RouteRow(const char* name,
                     const char* prefix,
                     const char* kind,
                     const std::string& service) {
  return {name, "soak.example", prefix, kind, service, 1.5, 0.5, 0, 2};
}

json::array ServiceRow(const char* name, bool keyed) {
  return {name, keyed, 64, "/health"};
}

}  // namespace

gateway_world::gateway_world(const gateway_world_options& options)
    : options_(options),
      random_(options.seed),
      next_port_(options.first_port) {}

gateway_world::~gateway_world() {
  for (const auto& caller : callers_) {
    caller->Stop();
  }
  gateways_.clear();
  for (const auto& link : links_) {
    link->Close();
  }
  for (const auto& endpoint : endpoints_) {
    endpoint->Kill();
  }
  if (store_) {
    store_->Stop();
  }
  // The handlers of what was closed.
  io_.restart();
  io_.poll();
}

result<std::unique_ptr<gateway_world>> gateway_world::Make(
    const gateway_world_options& options) {
  std::unique_ptr<gateway_world> world(new gateway_world(options));
  const result<bool> opened = world->Open();
  if (!opened) {
    return opened.error();
  }
  return world;
}

address gateway_world::NextAddress() {
  return address::Parse("127.0.0.1:" + std::to_string(next_port_++)).value();
}

result<address> gateway_world::OpenLink(const std::string& name,
                                        const address& target) {
  const address listen = NextAddress();
  auto link = proxy_port::Start(io_, {name, listen, target});
  if (!link) {
    return link.error();
  }
  links_.push_back(std::move(link).value());
  return listen;
}

result<bool> gateway_world::Open() {
  std::filesystem::create_directories(options_.folder);
  store_listen_ = NextAddress();
  auto store = kv_standin::Start(io_, store_listen_, random_());
  if (!store) {
    return store.error();
  }
  store_ = std::move(store).value();
  WriteConfig();
  const result<bool> endpoints = OpenEndpoints();
  if (!endpoints) {
    return endpoints.error();
  }
  const result<bool> gateways = OpenGateways();
  if (!gateways) {
    return gateways.error();
  }
  std::vector<address> fronts;
  for (const gateway& each : gateways_) {
    fronts.push_back(each.front);
  }
  for (std::size_t i = 0; i < options_.callers; ++i) {
    callers_.push_back(std::make_shared<soak_caller>(
        io_, fronts,
        [this](std::size_t front) { return gateways_[front].number; }, record_,
        random_()));
    callers_.back()->Start();
  }
  Heartbeats();
  return true;
}

result<bool> gateway_world::OpenGateways() {
  for (std::size_t i = 0; i < options_.gateways; ++i) {
    gateway daemon;
    daemon.id = "front-" + std::to_string(i);
    daemon.domain = DomainName(i);
    daemon.caller = NextAddress();
    daemon.ready = NextAddress();
    daemon.peer = NextAddress();
    daemon.metrics = NextAddress();
    const auto front = OpenLink("front-" + std::to_string(i), daemon.caller);
    const auto store = OpenLink("store-" + std::to_string(i), store_listen_);
    if (!front || !store) {
      return front ? store.error() : front.error();
    }
    daemon.front = front.value();
    daemon.store = store.value();
    gateways_.push_back(std::move(daemon));
    StartGateway(i);
  }
  return true;
}

result<bool> gateway_world::OpenEndpoints() {
  const std::size_t count = options_.keyed_endpoints + options_.plain_endpoints;
  for (std::size_t i = 0; i < count; ++i) {
    const bool keyed = i < options_.keyed_endpoints;
    soak_endpoint_options endpoint;
    endpoint.id = "i-" + std::to_string(i);
    endpoint.service = keyed ? kKeyedService : kPlainServices[i % 2];
    endpoint.domain = DomainName(i);
    endpoint.listen = NextAddress();
    endpoint.keyed = keyed;
    endpoint.releases = i % 2 == 0 ? release_rule::kWaitsForWork
                                   : release_rule::kWaitsWhileHeld;
    endpoint.closes = options_.closes;
    endpoint.clock = i / 2 % 2 == 0 ? 1 : kSlowestClock;
    const auto shown =
        OpenLink("endpoint-" + std::to_string(i), endpoint.listen);
    if (!shown) {
      return shown.error();
    }
    endpoint.shown = shown.value();
    endpoints_.push_back(std::make_shared<soak_endpoint>(
        io_, endpoint, holders_, record_, random_()));
    if (!StartEndpoint(i)) {
      return error(errc::kUnavailable, step::kListen,
                   endpoint.listen.ToString(), "endpoint");
    }
  }
  return true;
}

void gateway_world::RunFor(milliseconds length) {
  io_.restart();
  io_.run_for(length);
}

void gateway_world::StopCallers() {
  for (const auto& caller : callers_) {
    caller->Stop();
  }
  const instant limit = BootNow() + kLastAnswers;
  while (BootNow() < limit &&
         std::any_of(callers_.begin(), callers_.end(),
                     [](const auto& each) { return each->waiting(); })) {
    RunFor(milliseconds(20));
  }
  record_.ended = BootNow();
}

void gateway_world::After(milliseconds delay, std::function<void()> what) {
  RunAfter(io_, delay, std::move(what));
}

std::string gateway_world::SettingsOf(const gateway& daemon) {
  constexpr double kGraceS = 4;
  return json::serialize(
      json::object{{"id", daemon.id},
                   {"domain", daemon.domain},
                   {"caller_listen", daemon.caller.ToString()},
                   {"ready_listen", daemon.ready.ToString()},
                   {"peer_listen", daemon.peer.ToString()},
                   {"metrics_listen", daemon.metrics.ToString()},
                   {"store", daemon.store.ToString()},
                   {"cpu_share", 1.0},
                   {"grace_s", kGraceS},
                   {"longest_hold_s", 10.0},
                   {"retry_share", 0.2},
                   {"retry_reserve", 60}});
}

bool gateway_world::StartGateway(std::size_t index) {
  gateway& daemon = gateways_[index];
  const std::string settings = options_.folder + "/" + daemon.id + ".json";
  std::ofstream(settings) << SettingsOf(daemon);
  auto process = child_process::Start(
      options_.program, {settings}, options_.folder + "/" + daemon.id + ".log");
  if (!process) {
    return false;
  }
  daemon.process.emplace(std::move(process).value());
  daemon.number = ++processes_;
  return true;
}

void gateway_world::SignalGateway(std::size_t index, int number) {
  if (gateways_[index].process) {
    gateways_[index].process->Signal(number);
  }
}

bool gateway_world::GatewayEnded(std::size_t index) {
  gateway& daemon = gateways_[index];
  if (daemon.process && !daemon.process->Wait(milliseconds(0))) {
    return false;
  }
  daemon.process.reset();
  return true;
}

std::optional<std::size_t> gateway_world::Coordinator() const {
  const auto value = store_->Find(std::string(kCoordinatorKey));
  if (!value) {
    return std::nullopt;
  }
  const auto daemon = DecodeDaemon(kCoordinatorKey, *value);
  for (std::size_t i = 0; daemon && i < gateways_.size(); ++i) {
    if (gateways_[i].id == daemon.value().id.value()) {
      return i;
    }
  }
  return std::nullopt;
}

void gateway_world::SetLinkFault(const std::string& link,
                                 const proxy_fault& fault,
                                 bool silence_open) {
  for (std::size_t i = 0; i < endpoints_.size(); ++i) {
    if (link == "endpoint-" + std::to_string(i)) {
      endpoints_[i]->ExcuseGrants(BootNow() + kThaw);
    }
  }
  for (const auto& each : links_) {
    if (each->name() == link) {
      const result<bool> applied = each->Apply({{link}, fault, silence_open});
      if (!applied) {
        record_.violations.push_back(applied.error().ToString());
      }
    }
  }
}

bool gateway_world::StartEndpoint(std::size_t index) {
  soak_endpoint& endpoint = *endpoints_[index];
  if (!endpoint.Start()) {
    return false;
  }
  store_->Put(endpoint.EntryKey(), endpoint.Entry());
  return true;
}

void gateway_world::KillEndpoint(std::size_t index) {
  endpoints_[index]->Kill();
  ForgetEntry(index);
}

// The store removes the entry of a silent endpoint, also after an outage.
void gateway_world::ForgetEntry(std::size_t index) {
  After(kEntryLife, [this, index] {
    if (!endpoints_[index]->running() &&
        !store_->Delete(endpoints_[index]->EntryKey())) {
      ForgetEntry(index);
    }
  });
}

void gateway_world::DrainEndpoint(std::size_t index) {
  soak_endpoint& endpoint = *endpoints_[index];
  endpoint.Drain();
  const instant now = BootNow();
  if (store_->Put(endpoint.EntryKey(), endpoint.Entry()) && store_->is_well()) {
    endpoint.SetAnnounced(now);
  }
}

void gateway_world::UnlistEndpoint(std::size_t index) {
  soak_endpoint& endpoint = *endpoints_[index];
  endpoint.LeaveWithoutReport();
  const instant now = BootNow();
  if (store_->Delete(endpoint.EntryKey()) && store_->is_well()) {
    endpoint.SetAnnounced(now);
  }
}

void gateway_world::CancelDrain(std::size_t index) {
  soak_endpoint& endpoint = *endpoints_[index];
  if (endpoint.running() && endpoint.draining()) {
    endpoint.CancelDrain();
    store_->Put(endpoint.EntryKey(), endpoint.Entry());
  }
}

void gateway_world::Heartbeats() {
  for (const auto& endpoint : endpoints_) {
    if (endpoint->running() && endpoint->writes_entry()) {
      store_->Put(endpoint->EntryKey(), endpoint->Entry());
    }
  }
  After(kHeartbeat, [this] { Heartbeats(); });
}

void gateway_world::ChangeConfig() {
  WriteConfig();
}

bool gateway_world::WriteConfig() {
  constexpr int kVersionDigits = 8;
  const std::uint64_t version = config_version_ + 1;
  const std::string moved = kPlainServices[version % 2];
  std::string digits = std::to_string(version);
  // Versions are hexadecimal; only their decimal digits are used here.
  digits.insert(0, kVersionDigits - digits.size(), '0');
  const json::object config{
      {"Version", digits},
      {"Routes",
       json::object{
           {"Columns",
            json::array{"Name", "Host", "Prefix", "Kind", "Service", "TimeoutS",
                        "TargetLatencyS", "Priority", "MaxAttempts"}},
           {"Rows",
            json::array{
                RouteRow("r-look", "/look/", "safe", kKeyedService),
                RouteRow("r-book", "/book/", "unsafe", kKeyedService),
                RouteRow("r-note", "/note/", "unsafe", kPlainServices[0]),
                RouteRow("r-moved", "/moved/", "safe", moved)}}}},
      {"Services",
       json::object{
           {"Columns", json::array{"Name", "Sharded", "MaxConnections",
                                   "HealthCheckPath"}},
           {"Rows", json::array{ServiceRow(kKeyedService, true),
                                ServiceRow(kPlainServices[0], false),
                                ServiceRow(kPlainServices[1], false)}}}}};
  const instant now = BootNow();
  if (!store_->Put("op/config", json::serialize(config))) {
    return false;
  }
  config_version_ = version;
  record_.configs.push_back({version, moved, now});
  return true;
}

}  // namespace bluebell
