#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/fleet/fleet_update.h"
#include "bluebell/gateway/store_watcher.h"
#include "bluebell/kv/kv_client.h"
#include "testing/fault_proxy.h"
#include "testing/gateway/kv_standin.h"

namespace bluebell {
namespace {

constexpr const char* kConfigKey = "op/config";
constexpr const char* kMemberKey = "bluebell/members/other";
const address kStoreAddress = address::Parse("127.0.0.1:29000").value();
const address kProxyAddress = address::Parse("127.0.0.1:29001").value();
// The addresses by which the two daemons know each other.
const address kDaemon = address::Parse("127.0.0.1:29002").value();
const address kPeer = address::Parse("127.0.0.1:29003").value();
// Within this time a configuration has to be in force.
constexpr milliseconds kConfigBound{2'000};
// Time for the watches to start and for the peer to be asked.
constexpr milliseconds kSettlingTime{1'500};

result<route_config> DecodeVersion(std::string_view value) {
  return route_config::Make(config_version(std::stoull(std::string(value))), {},
                            {}, {});
}

// A daemon's copy of the store, without the rest of the daemon.
struct watching_daemon {
  watching_daemon(boost::asio::io_context& io,
                  const address& store_address,
                  std::function<void(const wire_message&)> send)
      : store(kv_client::Make(io, store_address).value()),
        watcher(
            io,
            *store,
            fleet_decoders{"servers/", kConfigKey,
                           [](const std::string& key, std::string_view) {
                             return result<fleet_endpoint>(error(
                                 errc::kMalformedMessage, step::kDecodeMessage,
                                 key, "no endpoints here"));
                           },
                           DecodeVersion, kConfigKey, ""},
            watcher_handlers{
                [](const fleet_state& /*state*/) {},
                [sender = std::move(send)](const address& /*to*/,
                                           const wire_message& message) {
                  sender(message);
                },
                [this](const silent_watch& silent) {
                  silent_watches.push_back(silent);
                }}) {
    watcher.Start();
  }

  std::uint64_t ConfigVersion() const {
    const auto& config = watcher.state().snapshot().config;
    return config ? config->version().value() : 0;
  }

  std::unique_ptr<kv_client> store;
  std::vector<silent_watch> silent_watches;
  store_watcher watcher;
};

// A store, a daemon that reaches it through a proxy, and a peer of the daemon.
struct silent_watch_world {
  explicit silent_watch_world(const address& store_of_peer)
      : store(kv_standin::Start(io, kStoreAddress, 1).value()),
        proxy(proxy_port::Start(io, {"store", kProxyAddress, kStoreAddress})
                  .value()),
        daemon(io,
               kProxyAddress,
               [this](const wire_message& message) {
                 const auto* asked =
                     std::get_if<fleet_update_request>(&message);
                 if (asked != nullptr && peer_answers) {
                   peer.watcher.OnUpdateRequest(kDaemon, *asked);
                 }
               }),
        peer(io, store_of_peer, [this](const wire_message& message) {
          const auto* update = std::get_if<fleet_update>(&message);
          if (update != nullptr) {
            daemon.watcher.OnUpdate(kPeer, *update);
          }
        }) {}
  silent_watch_world(const silent_watch_world&) = delete;
  silent_watch_world& operator=(const silent_watch_world&) = delete;
  ~silent_watch_world() {
    proxy->Close();
    store->Stop();
  }

  void RunFor(milliseconds time) { io.run_for(time); }

  // How long it takes until the daemon has that configuration; `limit` if it
  // doesn't get it by then.
  milliseconds TimeUntilConfig(std::uint64_t version, milliseconds limit) {
    const instant start = BootNow();
    while (daemon.ConfigVersion() != version && BootNow() - start < limit) {
      RunFor(milliseconds(10));
    }
    return std::chrono::duration_cast<milliseconds>(BootNow() - start);
  }

  boost::asio::io_context io;
  std::shared_ptr<kv_standin> store;
  std::shared_ptr<proxy_port> proxy;
  bool peer_answers = true;
  watching_daemon daemon;
  watching_daemon peer;
};

// Guards against a watch whose connection stays open and carries nothing: a new
// configuration was in force after up to 31 s, and a change of a daemon's
// entry that another watch delivered didn't show it.
TEST_CASE("a configuration is in force in time although its watch is silent") {
  fault_order silence;
  silence.silence_open = true;
  address store_of_peer = kStoreAddress;
  std::vector<address> peers = {kPeer};
  bool peer_answers = true;
  watch_witness expected_witness = watch_witness::kPeer;
  SECTION("alone") {
    peers.clear();
    expected_witness = watch_witness::kStore;
  }
  SECTION("new connections are silent too, and a peer shows it") {
    silence.fault = lose_bytes{};
  }
  SECTION("the peer's watch is silent in the same way") {
    store_of_peer = kProxyAddress;
  }
  SECTION("the peer doesn't answer") {
    peer_answers = false;
    expected_witness = watch_witness::kStore;
  }
  silent_watch_world world(store_of_peer);
  world.daemon.watcher.SetConfirmingPeers(peers);
  world.store->Put(kConfigKey, "1");
  world.RunFor(kSettlingTime);
  REQUIRE(world.daemon.ConfigVersion() == 1);
  world.peer_answers = peer_answers;
  REQUIRE(world.proxy->Apply(silence));
  world.RunFor(milliseconds(300));
  world.store->Put(kConfigKey, "2");
  const milliseconds taken = world.TimeUntilConfig(2, 2 * kConfigBound);
  INFO("in force after " << taken.count() << " ms");
  CHECK(taken < kConfigBound);
  world.RunFor(watch_monitor::kMaxDelivery + milliseconds(100));
  REQUIRE(world.daemon.silent_watches.size() == 1);
  CHECK(world.daemon.silent_watches[0].watch == kConfigKey);
  CHECK(world.daemon.silent_watches[0].shown_by == expected_witness);
  CHECK(world.peer.silent_watches.empty() == (store_of_peer == kStoreAddress));
}

// Guards against watches that are replaced although they work.
TEST_CASE("a watch that works is not replaced") {
  silent_watch_world world(kStoreAddress);
  world.daemon.watcher.SetConfirmingPeers({kPeer});
  for (int version = 1; version <= 20; ++version) {
    world.store->Put(kConfigKey, std::to_string(version));
    world.store->Put(kMemberKey, "malformed");
    world.RunFor(milliseconds(50 * (version % 5)));
  }
  world.RunFor(kSettlingTime);
  CHECK(world.daemon.ConfigVersion() == 20);
  CHECK(world.daemon.silent_watches.empty());
  CHECK(world.peer.silent_watches.empty());
}

}  // namespace
}  // namespace bluebell
