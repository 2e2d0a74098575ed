// The role of the coordinator: one daemon at a time holds it, under a lease in
// the store, and assigns the keys of all keyed services. Any daemon takes it
// when it is vacant. Lives on the control thread.
//
//   coordinator_role role(io, settings, self, store, watcher, traffic);
//   role.Start();

#ifndef BLUEBELL_GATEWAY_COORDINATOR_ROLE_H_
#define BLUEBELL_GATEWAY_COORDINATOR_ROLE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "bluebell/core/address.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/gateway/former_coordinators.h"
#include "bluebell/gateway/role_lease.h"
#include "bluebell/keyspace/coordinator_action.h"
#include "bluebell/keyspace/coordinator_change.h"
#include "bluebell/keyspace/key_coordinator.h"
#include "bluebell/keyspace/key_timing.h"
#include "bluebell/keyspace/unheld_range.h"
#include "bluebell/kv/kv_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class http_client;
class kv_client;
class store_watcher;
class traffic_side;
struct measured_load;

class coordinator_role {
 public:
  coordinator_role(boost::asio::io_context& io,
                   const key_timing& timing,
                   daemon_instance self,
                   kv_client& store,
                   store_watcher& watcher,
                   traffic_side& traffic);
  coordinator_role(const coordinator_role&) = delete;
  coordinator_role& operator=(const coordinator_role&) = delete;
  ~coordinator_role();

  void Start();
  void OnView(const fleet_view& view);
  // Gives the role up for good, as soon as the store lets another daemon take
  // it: until then the grants are renewed.
  void Leave();
  bool holding() const { return holding_; }

  void OnClaim(const address& from, const coordinator_claim& claim);
  void OnYield(const address& from, const coordinator_yield& yield);

 private:
  struct service_keys {
    explicit service_keys(const key_timing& timing) : keys(timing) {}

    key_coordinator keys;
    bool writing = false;
    // Pauses after a write that failed.
    instant next_write;
    instant next_measure;
    // As the traffic side was told.
    std::vector<unheld_range> unheld;
  };

  void ScheduleTick();
  void Tick(instant now);
  void TickVacant(instant now);
  void TickHolding(instant now);
  // The fleet knows this run of the daemon.
  bool IsAnnounced() const;
  // This daemon's place among those that may take the role.
  std::size_t PlaceInLine() const;
  bool HasKeyedService() const;

  boost::asio::awaitable<void> Claim();
  std::string FormersText() const;
  boost::asio::awaitable<bool> TakeOver();
  boost::asio::awaitable<void> KeepLease();
  void StopHolding(const std::string& reason);
  // Leaves the role to a daemon that reaches more endpoints.
  void Resign();
  boost::asio::awaitable<void> HandOver();
  void CheckFormers(instant now);
  void OnExcluded(const coordinator_exclusion& done, instant now);
  void SyncServices(instant now);
  void TellUnheld(const service_name& service, service_keys& unit);
  void Measure(const service_name& service, service_keys& unit, instant now);

  void Execute(const service_name& service,
               const std::vector<coordinator_action>& actions);
  // Each ends without effect if the term has ended before it begins.
  boost::asio::awaitable<void> Grant(std::uint64_t term,
                                     service_name service,
                                     send_grant order);
  boost::asio::awaitable<void> Release(std::uint64_t term,
                                       service_name service,
                                       send_release order);
  boost::asio::awaitable<void> WriteTable(std::uint64_t term,
                                          service_name service,
                                          write_key_table order);
  static void OnTableConflict(const service_name& service,
                              service_keys& unit,
                              const write_key_table& order,
                              const kv_conflict& conflict);
  http_client* ClientOf(const address& where);
  service_keys* FindKeys(const service_name& service);

  boost::asio::io_context& io_;
  key_timing timing_;
  daemon_instance self_;
  kv_client& store_;
  store_watcher& watcher_;
  traffic_side& traffic_;
  boost::asio::steady_timer tick_;
  fleet_view view_;
  std::map<service_name, std::unique_ptr<service_keys>> services_;
  std::map<address, std::unique_ptr<http_client>> clients_;
  bool holding_ = false;
  bool claiming_ = false;
  bool leaving_ = false;
  // Counts the terms of holding the role; ends what belongs to a former one.
  std::uint64_t term_ = 0;
  role_lease lease_;
  former_coordinators formers_;
  // The latest claim of another daemon that was answered.
  store_version yielded_;
  instant next_claim_message_;
  std::optional<instant> vacant_since_;
  instant resigned_until_;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_COORDINATOR_ROLE_H_
