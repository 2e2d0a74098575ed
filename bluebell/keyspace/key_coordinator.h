// Assigns the keys of one service to its endpoints. One daemon at a time is the
// coordinator. It writes each assignment to the store before it grants the keys
// to the owner, and it renews the grants. It assigns keys to another endpoint
// only after the former owner has released them and every unanswered grant has
// expired, or after all of the former owner's grants have expired.
//
// An aggregate without I/O, used by the coordinator role on the control thread:
// the On...() functions take events, Advance() returns the actions to carry
// out. All times are those of one monotonic clock.
//
//   key_coordinator keys(timing);
//   keys.TakeOver(table, revision, former, now);
//   keys.SetEndpoints(endpoints);
//   for (const coordinator_action& action : keys.Advance(authority, now)) ...

#ifndef BLUEBELL_KEYSPACE_KEY_COORDINATOR_H_
#define BLUEBELL_KEYSPACE_KEY_COORDINATOR_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/store_era.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/keyspace/coordinator_action.h"
#include "bluebell/keyspace/grant_record.h"
#include "bluebell/keyspace/granted_range.h"
#include "bluebell/keyspace/key_grant.h"
#include "bluebell/keyspace/key_move.h"
#include "bluebell/keyspace/key_planner.h"
#include "bluebell/keyspace/key_reassignment.h"
#include "bluebell/keyspace/key_table.h"
#include "bluebell/keyspace/key_timing.h"
#include "bluebell/keyspace/move_number.h"
#include "bluebell/keyspace/range_joiner.h"
#include "bluebell/keyspace/shard_load.h"
#include "bluebell/keyspace/unserved_range.h"

namespace bluebell {

class key_coordinator {
 public:
  explicit key_coordinator(const key_timing& timing)
      : timing_(timing), joiner_(timing) {}

  // Begins to coordinate from `table`, which the store has at `revision` (zero
  // if it has none). A former coordinator has sent no grant after
  // `former_stopped_by`; no value while this time isn't known. Drops all
  // earlier state except endpoints and loads; the numbers of moves go on.
  void TakeOver(key_table table,
                store_version revision,
                std::optional<instant> former_stopped_by,
                instant now);
  // The former coordinator has sent no grant after `stopped_by`. Has an effect
  // only if TakeOver() was called without that time.
  void OnFormerStopped(instant stopped_by);

  // The store came back from an older copy, in which the table has `revision`,
  // and this coordinator has claimed the role again with authority still in
  // force. Writes its own table over the copy's and renews its grants at once.
  // The lost history may have included other coordinators that sent grants, so
  // nothing moves until their grants have ended, see OnFormerStopped(). The
  // ranges of a write without a known result lose their owner, since either may
  // have a grant.
  void Reassert(const store_era& era, store_version revision, instant now);
  // Like TakeOver(), from the `table` of an older copy, after all grants that
  // may have been sent have ended. Grants follow once the table is written with
  // new fences.
  void TakeOverCopy(const key_table& table,
                    const store_era& era,
                    store_version revision,
                    instant former_stopped_by,
                    instant now);
  // A coordinator of a history that the store has lost may have assigned ranges
  // without waiting for another coordinator's grants: those without an owner,
  // and those whose owner's process had ended. Nothing moves until its grants
  // have ended, too.
  void OnHistoryLost() { history_lost_ = true; }

  // All endpoints of the service, as the registry lists them now.
  void SetEndpoints(std::vector<fleet_endpoint> endpoints);
  // `loads`: the mean number of slots that each key's requests occupy, in
  // ascending order of the keys. `capacities`: each endpoint's measured
  // capacity in slots of average speed; without an entry its number of slots
  // counts.
  void SetLoads(std::vector<shard_load> loads,
                std::map<endpoint_id, double> capacities);

  // The result of the grant `sent`, which was sent at `sent_at`.
  void OnGrantReply(const send_grant& sent,
                    instant sent_at,
                    const grant_reply& reply,
                    instant now);
  // The result of the release `sent`. `handover` is the token that the endpoint
  // returned, possibly empty; no value if the endpoint didn't confirm the
  // release. If the move that `sent` belongs to is over, the result shows only
  // whether the endpoint can be reached.
  void OnReleaseReply(const send_release& sent,
                      std::optional<std::string> handover,
                      instant now);

  // The release `sent` was certainly not sent, for example because the
  // connection failed.
  void OnReleaseUnsent(const send_release& sent, instant now);
  // This daemon has withdrawn the release `sent`, which may have been sent.
  // Says nothing about the endpoint.
  void OnReleaseWithdrawn(const send_release& sent, instant now);
  // This daemon is handing the role over: Advance() returns no more releases.
  void OnHandingOver() { handing_over_ = true; }

  // The table that was to be written is in the store, with `revision`.
  void OnWritten(store_version revision, instant now);
  // It isn't known whether the write took effect. Advance() returns the same
  // write again until the result is known.
  void OnWriteUnknown();
  // The write had no effect; the store has the table `current` with `revision`.
  // If that revision is another than the known one, the coordinator begins anew
  // from `current`. All of its grants then count as a former coordinator's: as
  // sent by `now` at the latest if the former coordinators have stopped, or
  // else until OnFormerStopped() is called.
  void OnNotWritten(const key_table& current,
                    store_version revision,
                    instant now);

  // Returns the actions that are due at `now`. Grants and releases are returned
  // only before `authority_until`. Moves begin and end, and tables are written,
  // only if `may_write`.
  std::vector<coordinator_action> Advance(instant authority_until,
                                          bool may_write,
                                          instant now);

  // Ranges that no endpoint serves now: those that are moving and those whose
  // owner hasn't accepted its first grant.
  std::vector<unserved_range> UnservedRanges() const;

  // The number of endpoint processes of which the coordinator keeps an address
  // or whether they answer.
  std::size_t known_endpoint_count() const {
    return std::max(last_address_.size(), reachability_.size());
  }

  const key_table& table() const { return table_; }
  const store_version& revision() const { return revision_; }

 private:
  // A move whose range may be assigned to a new owner.
  struct reassignable_move {
    const key_move* move = nullptr;
    reassignment_reason reason = reassignment_reason::kNoOwner;
  };
  // Whether an endpoint answers grants and releases.
  struct endpoint_reachability {
    // Consecutive orders that had no answer or were rejected.
    std::uint32_t consecutive_failures = 0;
    // When the next probe of a lost endpoint may be sent.
    instant next_probe;
  };

  // Null if the move is over.
  key_move* FindMove(move_number number);
  // Null if the registry doesn't list `id`.
  const fleet_endpoint* FindEndpoint(const endpoint_id& id) const;
  // True if `instance` may own keys: listed, neither draining nor
  // evacuated, and not lost.
  bool IsUsable(const endpoint_instance& instance) const;
  // True if the process of `instance` has ended for certain: a later process
  // has its id or its address.
  bool HasProcessEnded(const endpoint_instance& instance) const;
  // True if `where` is the last known address of `instance`.
  bool IsAddressOf(const endpoint_instance& instance,
                   const address& where) const;
  // The address of the process at which a grant to `instance` may be in force:
  // `instance` itself, or a later process with its id and address, which
  // accepts grants that were sent to the former one. No value if there is no
  // such process or its address isn't known.
  std::optional<address> GrantHolderAddress(
      const endpoint_instance& instance) const;
  // True if so many consecutive orders to `instance` had no answer that its
  // keys are to move.
  bool IsLost(const endpoint_instance& instance) const;
  // Drops the state of endpoints that aren't listed, own no keys and give none
  // away.
  void ForgetGoneEndpoints();
  // Counts consecutive orders that had no answer or were rejected; `answered`
  // resets the count.
  void RecordOrderOutcome(const endpoint_instance& instance, bool answered);
  // Rebuilds `granted_ranges_` from the table without the ranges that are
  // moving, and keeps the grant records of the former ranges.
  void RefreshGrantedRanges();
  // Appends the part of `former` within `range`, which isn't moving, if it
  // belongs to `assignment`, and merges it with the range before if their grant
  // records can be merged.
  static void AddGrantedRange(const key_assignment& assignment,
                              const key_range& range,
                              const granted_range& former,
                              std::vector<granted_range>& granted_ranges);

  // Cancels forced moves whose owner is usable again. A range that the owner
  // has released, or may have released, is assigned to it again with a new
  // fence.
  void CancelMoves(instant now);
  // Starts moves of all ranges whose owner isn't usable, and of ranges without
  // an owner.
  void StartForcedMoves(instant now);
  // Starts the moves that even out the load, as RebalancePolicyFor() says for
  // the number of listed endpoints.
  void StartPlannedMoves(instant now);
  // A few moves, if no other move is under way.
  void StartGradualMoves(instant now);
  // All moves that a complete plan allows beside those that are under way.
  void StartCompleteMoves(instant now);
  // Starts those of `planned` whose range lies in one granted range.
  void StartMoves(const std::vector<planned_move>& planned,
                  instant release_at,
                  instant now);
  // True if the range may be released for a planned move.
  bool IsMovable(const granted_range& granted, instant now) const;
  // The usable endpoints with their capacities.
  std::map<endpoint_instance, double> OwnerCapacities() const;
  void StartMove(const granted_range& granted,
                 const key_range& range,
                 const std::optional<endpoint_instance>& to,
                 instant release_at,
                 instant now);
  // Releases of moving ranges.
  void AddReleases(std::vector<coordinator_action>& actions, instant now);
  // Releases without effect to lost endpoints that own no keys. An answer shows
  // that the endpoint can be reached again.
  void AddProbes(std::vector<coordinator_action>& actions, instant now);
  // A table that completes the moves whose ranges may be assigned, or joins
  // ranges if there are no moves, or the same write again if its result isn't
  // known.
  void AddTableWrite(std::vector<coordinator_action>& actions, instant now);
  // Grants and renewals that are due.
  void AddGrants(std::vector<coordinator_action>& actions, instant now);
  // Why the range of `move` may be assigned to a new owner: its former owner
  // can't serve it any more, or takes it back. No value if it may not yet.
  std::optional<reassignment_reason> ReasonToReassign(const key_move& move,
                                                      instant now) const;
  // The write of a table with joined ranges; nothing is joined if none can be.
  write_key_table JoinRanges(instant now) const;
  // The write of a table in which `moves` are complete, as far as there are
  // endpoints for them.
  write_key_table CompleteMoves(
      const std::vector<reassignable_move>& moves) const;
  move_number NextMoveNumber();
  // Writes the present table again before any other.
  void WritePresentTable();
  // False while a coordinator of a lost history may have granted keys to owners
  // that the table doesn't name.
  bool MayMove(instant now) const;
  key_plan_input PlanInput() const;
  // True if more than half of the owners, out of a minimum number of owners,
  // don't answer.
  bool ReachesTooFewOwners() const;

  key_timing timing_;
  range_joiner joiner_;
  key_table table_;
  store_version revision_;
  // The write whose result isn't known, and whether it is to be repeated.
  std::optional<write_key_table> pending_write_;
  bool must_repeat_write_ = false;
  // No grant is sent until `pending_write_` has its result.
  bool grants_await_write_ = false;
  bool history_lost_ = false;
  // In the order of their ids.
  std::vector<fleet_endpoint> endpoints_;
  std::map<endpoint_instance, address> last_address_;
  std::vector<shard_load> loads_;
  std::map<endpoint_id, double> capacities_;
  std::vector<granted_range> granted_ranges_;
  std::vector<key_move> moves_;
  move_number last_move_;
  std::map<endpoint_instance, endpoint_reachability> reachability_;
  std::optional<instant> former_stopped_by_;
  bool handing_over_ = false;
  // The number of calls of TakeOver().
  std::uint64_t takeovers_ = 0;
  instant next_plan_;
  // No table is written before, so that one write completes many moves.
  instant next_write_;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_COORDINATOR_H_
