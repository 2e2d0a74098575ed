// Builds a daemon's view of the fleet from the values in the platform's store.
//
// An aggregate without I/O, used by the store watcher on the control thread. A
// malformed value is reported by TakeErrors(). It leaves the state unchanged,
// except that an endpoint whose entry is malformed is removed.
//
//   fleet_state state(decoders);
//   state.ApplyListing(listing.items, listing.revision, now);
//   state.Apply(event, now);
//   fleet_view view = std::make_shared<fleet_snapshot>(state.snapshot());

#ifndef BLUEBELL_FLEET_FLEET_STATE_H_
#define BLUEBELL_FLEET_FLEET_STATE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/coordinator_record.h"
#include "bluebell/fleet/domain_evacuations.h"
#include "bluebell/fleet/endpoint_departure.h"
#include "bluebell/fleet/evacuation_change.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/kv/kv_types.h"

namespace bluebell {

// Where the platform keeps its values in the store, and the functions that
// decode them.
struct fleet_decoders {
  // Prefix of the keys of endpoints; the endpoint's id follows it.
  std::string endpoint_prefix;
  // Key of the operators' configuration.
  std::string config_key;
  std::function<result<fleet_endpoint>(const std::string& key,
                                       std::string_view value)>
      endpoint;
  std::function<result<route_config>(std::string_view value)> config;
  // Prefix of all keys that the operators write; `config_key` begins with it.
  std::string operator_prefix;
  // Prefix of the keys that request the evacuation of a failure domain, whose
  // name follows it. Empty if operators evacuate none.
  std::string evacuation_prefix;
};

class fleet_state {
 public:
  explicit fleet_state(fleet_decoders decoders);

  // Takes in a listing of all keys as of `revision`. Removes values whose keys
  // aren't listed, and keeps a value that is newer than its listed one. Returns
  // the changes that this makes, in ascending order of their revisions.
  std::vector<kv_event> ApplyListing(const std::vector<kv_item>& items,
                                     const store_version& revision,
                                     instant now);
  // Takes in one change that a watch or another daemon has reported. A change
  // older than the known one of its key is ignored.
  void Apply(const kv_event& event, instant now);
  // True if this state contains every change up to `revision`, for example
  // those that another daemon with this latest change has.
  bool Covers(const store_version& revision) const;
  // The same for the changes of endpoints alone. A daemon may follow these on a
  // connection of their own, so that later changes of other values say nothing
  // about them.
  bool CoversEndpoints(const store_version& revision) const;
  // Raises the snapshot's revision to `revision`, which is another daemon's
  // latest change, if this state contains that change. A listing doesn't show
  // the revision of deletions, so the snapshot's revision alone may be too low.
  // Returns true if the revision was raised.
  bool RaiseRevisionTo(const store_version& revision);

  // The store can be read again after an outage, during which the entries of
  // running endpoints may have expired. For a limited time endpoints stay in
  // the snapshot after their entry is deleted, marked as lapsing.
  void OnStoreRecovered(instant now);
  // The same for a recovery that another daemon has noticed: endpoints stay
  // until `time` at least.
  void DelayRemovalsUntil(instant time);
  // Until when OnStoreRecovered() delays removals; a time in the past if it
  // doesn't.
  instant removals_delayed_until() const { return removals_delayed_until_; }
  // Removes endpoints and, after a rise of the store's era, daemons whose entry
  // hasn't returned in that time, and ends evacuations whose request hasn't.
  // Returns true if there were any.
  bool RemoveLapsed(instant now);
  // When RemoveLapsed() is to be called next; no value if nothing is lapsing.
  std::optional<instant> NextLapseTime() const;

  // This daemon has written the key table, which the store has at `revision`.
  // Returns true if the state had an older one.
  bool RecordOwnTable(const service_name& service,
                      const key_table& table,
                      const store_version& revision);

  // The endpoint process has stated in a response that it is leaving. It counts
  // as draining from then on, whatever its entry says; a later process under
  // the same id doesn't. Returns true if the snapshot has changed.
  bool RecordLeaving(const endpoint_instance& endpoint, instant now);

  const fleet_snapshot& snapshot() const { return current_; }
  // The store's revision of the value under `key`; zero if there is no value.
  store_version RevisionOf(std::string_view key) const;
  // The latest coordinator, also after its term, and then the earlier ones that
  // it hadn't excluded yet.
  const std::vector<coordinator_record>& coordinator_history() const {
    return coordinator_history_;
  }
  // Returns and clears the errors of values that were rejected since the last
  // call.
  std::vector<error> TakeErrors();
  // Returns and clears the endpoints that have left service since the last
  // call, in the order of their changes.
  std::vector<endpoint_departure> TakeDepartures();
  // Returns and clears the evacuations that have begun or ended since the last
  // call.
  std::vector<evacuation_change> TakeEvacuationChanges();

 private:
  void Put(const kv_item& item, instant now);
  // Removes the endpoint and notes its departure.
  void EraseEndpoint(const endpoint_id& id);
  void Remove(const kv_deletion& deletion, instant now);
  // True if `table`, at `revision`, is that of an older copy of the store,
  // while this daemon knows a later one.
  bool IsRevertedTable(const service_name& service,
                       const key_table& table,
                       const store_version& revision) const;
  void RemoveEndpoint(const endpoint_id& id, instant now);
  void RecordChange(std::string_view key, const store_version& revision);
  void PutEndpoint(const kv_item& item, instant now);
  void PutConfig(const kv_item& item);
  void PutTable(const kv_item& item);
  void PutDaemonState(const kv_item& item);
  // The failure domain whose evacuation `key` requests; no value if `key` is
  // another one.
  std::optional<domain_name> EvacuatedBy(std::string_view key) const;
  void BeginEvacuation(const domain_name& domain);
  void EndEvacuation(const domain_name& domain, instant now);
  // Marks the domain's endpoints, and notes the change for the log. An endpoint
  // whose evacuation ends counts as cold, since it has had no requests.
  void MarkEvacuated(const domain_name& domain, bool evacuated, instant now);
  // Until when an endpoint of the service that is cold from `now` on stays so.
  instant ColdUntil(const service_name& service, instant now) const;

  fleet_decoders decoders_;
  fleet_snapshot current_;
  std::vector<coordinator_record> coordinator_history_;
  std::map<std::string, store_version, std::less<>> revisions_;
  // Revision of the latest listing.
  store_version listing_revision_;
  // Until this time an endpoint whose entry is deleted is only marked as
  // lapsing.
  instant removals_delayed_until_;
  // Endpoint processes that have stated that they are leaving, and when.
  std::map<endpoint_instance, instant> leaving_;
  // Endpoints whose entry is missing, and when they are removed.
  std::map<endpoint_id, instant> lapse_times_;
  // Daemons whose entry a store from an older copy lacks, and when they are
  // removed.
  std::map<daemon_id, instant> member_lapse_times_;
  std::vector<error> errors_;
  std::vector<endpoint_departure> departures_;
  domain_evacuations evacuations_;
  std::vector<evacuation_change> evacuation_changes_;
};

}  // namespace bluebell

#endif  // BLUEBELL_FLEET_FLEET_STATE_H_
