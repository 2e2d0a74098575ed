// The implementation of `control_state`. control_impl.cc handles events and
// operator commands, table_work.cc reads and writes the placement tables and
// the configuration, peer_work.cc exchanges messages with daemons and
// endpoints.

#ifndef BLUEBELL_CONTROL_INTERNAL_CONTROL_IMPL_H_
#define BLUEBELL_CONTROL_INTERNAL_CONTROL_IMPL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "bluebell/control/control_state.h"
#include "bluebell/control/endpoint_registry.h"
#include "bluebell/control/lease_request_scheduler.h"
#include "bluebell/control/local_config.h"
#include "bluebell/control/local_table.h"
#include "bluebell/control/placement_proposer.h"
#include "bluebell/control/snapshot_builder.h"
#include "bluebell/membership/member_view.h"

namespace bluebell {

class control_state::impl {
 public:
  impl(const daemon_settings& settings,
       incarnation run,
       std::uint64_t seed,
       instant now);

  std::vector<control_action> Handle(const control_event& event,
                                     instant now,
                                     wall_instant wall_now);
  shared_state MakeSharedState() const;

  // Event handlers, called by Handle.
  void operator()(const tick& event);
  void operator()(const store_read_done& event);
  void operator()(const store_write_done& event);
  void operator()(const hosts_read_done& event);
  void operator()(const lease_request_done& event);
  void operator()(const heartbeat_received& event);
  void operator()(const peer_state_received& event);
  void operator()(const exchange_observed& event);
  void operator()(const load_measured& event);
  void operator()(const operator_asked& event);
  void operator()(const stop_requested& event);

  // Handlers of operator commands, called for operator_asked.
  void operator()(const show_status& command);
  void operator()(const show_config& command);
  void operator()(const show_placement& command);
  void operator()(const explain_key& command);
  void operator()(const change_config& command);
  void operator()(const declare_domain_lost& command);

 private:
  // The edits that this daemon proposes for one table.
  struct table_proposal {
    placement_proposer proposer;
    // When this daemon first found that the table needs edits. Unset if it
    // needs none.
    std::optional<instant> edits_wanted_since;
    // The edits of the write in progress.
    std::vector<table_edit> written_edits;
  };

  // An operator's statement that a failure domain is lost, until it is written
  // to all tables.
  struct lost_declaration {
    declare_domain_lost command;
    std::uint64_t token = 0;
    // The services whose tables do not contain the statement yet.
    std::set<service_name> pending_services;
  };

  // control_impl.cc
  void Learn();
  void HandlePause();
  snapshot_inputs SnapshotInputs() const;
  void Publish();
  void ReportViolation(std::string invariant, std::string state);
  void Log(std::string message,
           std::vector<std::pair<std::string, std::string>> fields);

  // table_work.cc
  void ReadStore();
  void ReadTable(local_table& local);
  void ReadConfig();
  void WriteConfig();
  void ReadHosts();
  void ProcessTable(const service_name& service, local_table& local);
  void WriteTable(const service_name& service,
                  local_table& local,
                  const std::vector<table_edit>& edits);
  std::vector<table_edit> WantedEdits(const service_name& service,
                                      local_table& local);
  void HandleTableUpdate(const service_name& service,
                         const local_table::update& change);
  void FinishDeclarations(const service_name& service);
  void LogEdits(const service_name& service);
  std::set<domain_name> AgreedSilentDomains() const;
  int OwnRank(const std::string& role,
              const std::vector<daemon_instance>& candidates) const;
  change_id NextChangeId();
  load_report RegionLoad() const;

  // peer_work.cc
  void SendHeartbeats();
  heartbeat MakeHeartbeat(bool with_endpoints) const;
  void SendHeartbeat(const daemon_id& to, const heartbeat& message);
  void FetchState();
  // Determines which endpoints this daemon probes, and for which services it
  // asks former owners to give up slices.
  void ChooseDuties();
  void IndexSlices(const service_name& service);
  void SendLeases();
  void SendLease(const host_entry& host, instant renewable_until);
  const std::vector<slice>& SlicesOf(const host_entry& host) const;
  wanted_leases WantedLeases(const host_entry& host, bool may_renew) const;
  bool IsProber(const host_entry& host) const;
  bool IsRevoker(const local_table& local) const;

  daemon_settings settings_;
  daemon_instance self_;
  member_view view_;
  endpoint_registry registry_;
  lease_request_scheduler lease_requests_;
  local_config config_;
  std::map<service_name, local_table> local_tables_;
  std::map<service_name, table_proposal> table_proposals_;
  std::vector<lost_declaration> lost_declarations_;
  std::map<daemon_id, load_report> peer_loads_;
  load_report own_load_;
  std::mt19937_64 random_;
  std::uint64_t changes_made_ = 0;
  bool leaving_ = false;

  // Derived from the membership by ChooseDuties, every kDutyUpdateInterval.
  std::set<endpoint_id> probed_endpoints_;
  std::set<service_name> revoking_services_;
  std::optional<instant> duties_chosen_at_;
  // Derived from the tables: the slices that an endpoint owns or that are
  // moving away from it.
  std::map<service_name, std::map<endpoint_id, std::vector<slice>>>
      slices_by_endpoint_;
  // Derived on each tick.
  std::vector<endpoint_info> endpoints_;

  // Valid while Handle runs.
  instant now_;
  wall_instant wall_now_;
  std::vector<control_action> actions_;

  std::uint64_t operator_token_ = 0;
  instant last_tick_;
  std::optional<instant> hosts_read_at_;
  bool hosts_read_in_flight_ = false;
  bool hosts_known_ = false;
  std::optional<instant> fetch_sent_at_;
  std::optional<instant> load_fetched_at_;
  std::vector<endpoint_status> announced_statuses_;
  std::optional<instant> statuses_announced_at_;
  bool must_send_heartbeats_ = false;
  std::shared_ptr<const routing_snapshot> published_snapshot_;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONTROL_INTERNAL_CONTROL_IMPL_H_
