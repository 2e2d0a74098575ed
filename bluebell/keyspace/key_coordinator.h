// Assigns the keys of one service to its endpoints. One daemon at a time
// coordinates; it writes each assignment to the store before it grants the
// keys, renews the grants, and gives keys to another endpoint only after the
// former owner has released them or can't hold them any more.
//
// An aggregate without I/O: events go in, Advance() returns what to do.
//
//   key_coordinator keys(timing);
//   keys.TakeOver(table, revision, former, now);
//   keys.SetEndpoints(endpoints);
//   for (const coordinator_action& action : keys.Advance(authority, now)) ...

#ifndef BLUEBELL_KEYSPACE_KEY_COORDINATOR_H_
#define BLUEBELL_KEYSPACE_KEY_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/keyspace/coordinator_action.h"
#include "bluebell/keyspace/grant_record.h"
#include "bluebell/keyspace/key_grant.h"
#include "bluebell/keyspace/key_planner.h"
#include "bluebell/keyspace/key_table.h"
#include "bluebell/keyspace/key_timing.h"
#include "bluebell/keyspace/shard_load.h"
#include "bluebell/keyspace/unheld_range.h"

namespace bluebell {

class key_coordinator {
 public:
  explicit key_coordinator(const key_timing& timing) : timing_(timing) {}

  // Begins to coordinate with the table as the store has it; revision zero if
  // there is none. `former_until` is when a former coordinator has surely sent
  // its last grant; nothing if that isn't known yet.
  void TakeOver(key_table table,
                store_version revision,
                std::optional<instant> former_until,
                instant now);
  void SetFormerUntil(instant until);

  void SetEndpoints(std::vector<fleet_endpoint> endpoints);
  // Measured work a key, and the slots of average speed an endpoint.
  void SetLoads(std::vector<shard_load> loads,
                std::map<endpoint_id, double> capacities);

  // The end of a grant that was sent at `sent_at`.
  void OnGrantReply(const send_grant& sent,
                    instant sent_at,
                    const grant_reply& reply,
                    instant now);
  // Nothing if the endpoint gave no answer.
  void OnReleaseReply(const send_release& sent,
                      std::optional<std::string> handover,
                      instant now);

  void OnWritten(store_version revision, instant now);
  // It isn't known whether the write took effect: it is to be repeated, as it
  // was, until that is clear.
  void OnWriteUnknown();
  // The write took no effect: the store has this table and revision. The table
  // that was to be written counts as not written.
  void OnNotWritten(const key_table& current,
                    store_version revision,
                    instant now);

  // What to do now. Grants go out only until `authority_until`, new tables only
  // while `may_write`.
  std::vector<coordinator_action> Advance(instant authority_until,
                                          bool may_write,
                                          instant now);

  // Ranges that no endpoint serves at the moment.
  std::vector<unheld_range> UnheldRanges() const;

  const key_table& table() const { return table_; }
  const store_version& revision() const { return revision_; }

 private:
  // A range on its way to another owner.
  struct key_move {
    key_range range;
    endpoint_instance from;
    // The owner that the planner chose; another is taken if it is gone.
    std::optional<endpoint_instance> to;
    // What was known of the grants when the move began.
    grant_record grants;
    bool released = false;
    std::string handover;
    bool release_in_flight = false;
    instant next_release;
    instant started;
  };
  // A range that one call grants and renews.
  struct granted_part {
    key_range range;
    epoch fence;
    endpoint_instance owner;
    grant_record grants;
  };
  // A moved range in a table that is being written.
  struct completed_move {
    key_range range;
    std::string handover;
  };
  // How an endpoint answers orders.
  struct contact {
    // Orders in a row without an answer.
    std::uint32_t failures = 0;
    instant probe_at;
  };

  const fleet_endpoint* FindEndpoint(const endpoint_id& id) const;
  bool IsUsable(const endpoint_instance& instance) const;
  // True if the process that was `instance` has surely ended.
  bool HasEnded(const endpoint_instance& instance) const;
  bool IsAddressOf(const endpoint_instance& instance,
                   const address& where) const;
  // Where somebody may hold keys that were granted to `instance`: there itself,
  // or, if it has ended, a later process with its id and address, which takes
  // grants that were meant for the former one. Nothing if nobody can.
  std::optional<address> HolderAddress(const endpoint_instance& instance) const;
  bool IsLost(const endpoint_instance& instance) const;
  void OnContact(const endpoint_instance& instance, bool answered);
  // Brings the parts in line with the table and the moves.
  void RefreshParts();
  // Adds what is known of the grants of `range`, which doesn't move.
  void AddParts(const key_assignment& assignment,
                const key_range& range,
                std::vector<granted_part>& parts) const;

  // Ends moves off owners that turned out to be well.
  void CancelMoves(instant now);
  void StartForcedMoves(instant now);
  void StartPlannedMoves(instant now);
  void StartMove(const granted_part& part,
                 const key_range& range,
                 const std::optional<endpoint_instance>& to,
                 instant now);
  void AddReleases(std::vector<coordinator_action>& actions, instant now);
  void AddProbes(std::vector<coordinator_action>& actions, instant now);
  void AddTableWrite(std::vector<coordinator_action>& actions, instant now);
  void AddGrants(std::vector<coordinator_action>& actions, instant now);
  bool IsFree(const key_move& move, instant now) const;
  key_table TableAfter(const std::vector<const key_move*>& moves);
  // The parts of an assignment that aren't moving.
  std::vector<key_range> RestingParts(const key_assignment& assignment) const;
  key_plan_input PlanInput() const;
  bool ReachesTooFew() const;

  key_timing timing_;
  key_table table_;
  store_version revision_;
  // The table that is being written, and the moves that it completes.
  std::optional<key_table> writing_;
  bool write_again_ = false;
  std::vector<completed_move> completing_;
  std::vector<fleet_endpoint> endpoints_;
  std::map<endpoint_instance, address> last_address_;
  std::vector<shard_load> loads_;
  std::map<endpoint_id, double> capacities_;
  std::vector<granted_part> parts_;
  std::vector<key_move> moves_;
  std::map<endpoint_instance, contact> contacts_;
  std::optional<instant> former_until_;
  instant next_plan_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_COORDINATOR_H_
