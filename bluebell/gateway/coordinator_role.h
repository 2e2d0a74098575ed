// The coordinator's role. One daemon at a time is the coordinator, under a
// lease in the store, and assigns the keys of all keyed services. Every daemon
// runs this class and claims the role when it is vacant. All functions are
// called on the control thread.
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
#include "bluebell/gateway/era_succession.h"
#include "bluebell/gateway/former_coordinators.h"
#include "bluebell/gateway/order_authority.h"
#include "bluebell/gateway/role_lease.h"
#include "bluebell/keyspace/coordinator_action.h"
#include "bluebell/keyspace/coordinator_change.h"
#include "bluebell/keyspace/key_coordinator.h"
#include "bluebell/keyspace/key_timing.h"
#include "bluebell/keyspace/unserved_range.h"
#include "bluebell/kv/kv_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace bluebell {

class http_client;
class kv_client;
class store_watcher;
class traffic_server;
struct measured_load;

class coordinator_role {
 public:
  coordinator_role(boost::asio::io_context& io,
                   const key_timing& timing,
                   daemon_instance self,
                   bool is_first_start,
                   kv_client& store,
                   store_watcher& watcher,
                   traffic_server& traffic);
  coordinator_role(const coordinator_role&) = delete;
  coordinator_role& operator=(const coordinator_role&) = delete;
  ~coordinator_role();

  // Starts the timer on which the daemon claims the role or, as the
  // coordinator, sends its orders.
  void Start();
  // Takes each new state of the fleet.
  void OnView(const fleet_view& view);
  // Stops claims and ends the lease if this daemon is the coordinator. Until
  // the store has confirmed that, the attempts are repeated and the daemon
  // continues to renew grants while its authority lasts; it sends no more
  // releases and key tables. Called once, at shutdown.
  void Leave();
  // True while this daemon is the coordinator.
  bool is_coordinator() const { return authority_.has_role(); }

  // The daemon at `from` has claimed the role. Unless this daemon coordinates
  // under the same or a later claim, it stops and answers with a yield.
  void OnClaim(const address& from, const coordinator_claim& claim);
  // A daemon has stopped sending orders about keys. Ignored unless it answers
  // the present claim of this daemon.
  void OnYield(const coordinator_yield& yield);

 private:
  // The state of one keyed service while this daemon coordinates.
  struct coordinated_service {
    explicit coordinated_service(const key_timing& timing) : keys(timing) {}

    key_coordinator keys;
    // A write of the key table awaits its response.
    bool write_in_flight = false;
    // No write starts before this time. Delayed after a failed write.
    instant next_write;
    // When the traffic side is next asked for the measured load.
    instant next_load_request;
    // The ranges last reported to the traffic side.
    std::vector<unserved_range> unserved;
  };

  void ScheduleTick();
  void Tick(instant now);
  void TickAsCandidate(instant now);
  void TickAsCoordinator(instant now);
  // True if the daemon's entry in the store names this run.
  bool IsAnnounced() const;
  // This daemon's rank among the daemons that may claim the role; 0 claims
  // first.
  std::size_t ClaimRank() const;
  bool HasKeyedService() const;

  // Claims the role; see Claim(). Allows the next claim when it has ended.
  boost::asio::awaitable<void> ClaimOnce();
  boost::asio::awaitable<void> Claim();
  // Reads the key tables from the store and coordinates from them, or sets
  // `silent_until_` if they may be older than grants in force. False if a read
  // or a table failed.
  boost::asio::awaitable<bool> TakeOver();
  // Whether the key tables in the store name all owners; no value if they can't
  // be read.
  boost::asio::awaitable<std::optional<bool>> ReadIsSettled();
  // The names of the keyed services of the present configuration.
  std::vector<service_name> KeyedServices() const;
  // True if `tables`, which the store has in `era`, name all owners of keys.
  bool IsSettled(const std::map<service_name, key_table>& tables,
                 const store_era& era) const;
  // Begins to coordinate from the tables of an older copy of the store, after
  // all grants that may be outstanding have ended.
  boost::asio::awaitable<void> EndSilence(std::uint64_t term);
  // Takes note of the store's era. A coordinator stops, or claims the role
  // again with its next renewal.
  void ObserveEra(instant now);
  // Claims the role again in the present era of the store, and asserts this
  // daemon's tables.
  boost::asio::awaitable<claim_outcome> ReclaimInEra();
  // Renews the lease until the term ends or the daemon leaves.
  boost::asio::awaitable<void> KeepLease();
  void StopCoordinating(const std::string& reason);
  // Gives up the role so that a daemon that reaches more endpoints can take it.
  // Has no effect during an outage of the store.
  void Resign();
  // Ends the lease, with retries, and then stops coordinating.
  boost::asio::awaitable<void> HandOver();
  // Excludes the former coordinators that have ended and sends this daemon's
  // claim to the others.
  void ExcludeFormerCoordinators(instant now);
  // The entries of the former coordinators' daemon ids in the store.
  former_coordinators::announced_map AnnouncedFormers() const;
  void OnExcluded(const coordinator_exclusion& exclusion, instant now);
  // Adds new keyed services and updates the endpoints of all.
  void SyncServices(instant now);
  // Reports the unserved ranges to the traffic side if they have changed.
  void ReportUnservedRanges(const service_name& service,
                            coordinated_service& coordinated);
  // Asks the traffic side for the measured load when that is due.
  void Measure(const service_name& service,
               coordinated_service& coordinated,
               instant now);

  void Execute(const service_name& service,
               const std::vector<coordinator_action>& actions);
  // Whether an order may be written now; see order_authority.
  bool MaySend(order_kind kind, std::uint64_t term) const;
  // Resets the connections of the releases in flight. A release may wait for
  // its response for longer than a successor waits, and must not arrive then.
  void CancelReleases();
  // These send one order and process its response. The order isn't written if
  // `term` has ended by then; a response that arrives after the end of the term
  // is ignored.
  boost::asio::awaitable<void> Grant(std::uint64_t term,
                                     service_name service,
                                     send_grant order);
  boost::asio::awaitable<void> Release(std::uint64_t term,
                                       service_name service,
                                       send_release order);
  boost::asio::awaitable<void> WriteTable(std::uint64_t term,
                                          service_name service,
                                          write_key_table order);
  // It isn't known whether a write of the key table has taken effect.
  static void OnWriteWithoutResult(coordinated_service& coordinated,
                                   instant now);
  // Gives the table that was written to this daemon's dispatcher at once.
  void PublishTable(const service_name& service,
                    const key_table& table,
                    const store_version& revision);
  // The store holds another revision of the table than the write expected.
  void OnTableConflict(const service_name& service,
                       coordinated_service& coordinated,
                       const write_key_table& order,
                       const kv_conflict& conflict);
  // Null if the address can't be used.
  http_client* ClientOf(const address& where);
  // Null if the service isn't coordinated.
  coordinated_service* FindService(const service_name& service);

  boost::asio::io_context& io_;
  key_timing timing_;
  daemon_instance self_;
  // True if the whole system started for the first time with this process.
  bool is_first_start_;
  kv_client& store_;
  store_watcher& watcher_;
  traffic_server& traffic_;
  boost::asio::steady_timer tick_;
  fleet_view view_;
  std::map<service_name, std::unique_ptr<coordinated_service>> services_;
  std::map<address, std::unique_ptr<http_client>> clients_;
  bool claim_in_flight_ = false;
  bool leaving_ = false;
  // Which orders may be sent. Coroutines of an earlier term end when they see
  // another number of the term.
  order_authority authority_;
  role_lease lease_;
  era_succession succession_;
  // The store's era to which this coordinator's claim and the revisions of its
  // tables belong. It writes no table in another one.
  store_era asserted_era_;
  // Until when this daemon, as the coordinator, sends no orders because the
  // tables in the store may be older than grants in force.
  std::optional<instant> silent_until_;
  bool ending_silence_ = false;
  // The clients of the releases in flight.
  std::vector<std::weak_ptr<http_client>> releases_in_flight_;
  former_coordinators former_coordinators_;
  // The store revision of the latest claim of another daemon that was answered
  // with a yield.
  store_version last_yielded_claim_;
  instant next_claim_message_;
  // Since when this daemon has been a candidate for the vacant role.
  std::optional<instant> vacant_since_;
  // This daemon doesn't claim the role before this time.
  instant resigned_until_;
};

}  // namespace bluebell

#endif  // BLUEBELL_GATEWAY_COORDINATOR_ROLE_H_
