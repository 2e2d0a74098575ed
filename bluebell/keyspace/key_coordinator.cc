#include "bluebell/keyspace/key_coordinator.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <variant>

#include "bluebell/core/overloaded.h"
#include "bluebell/keyspace/complete_planner.h"
#include "bluebell/keyspace/rebalance_policy.h"

namespace bluebell {

namespace {

// Consecutive orders without an answer after which an endpoint counts as lost.
constexpr std::uint32_t kFailuresUntilLost = 3;
// Consecutive orders without an answer after which an owner counts as not
// reached when the coordinator decides whether to resign.
constexpr std::uint32_t kFailuresUntilInDoubt = 2;
// The coordinator doesn't resign if there are fewer owners than this, because
// nothing follows from half of so few owners not answering.
constexpr std::size_t kMinOwnersToResign = 4;
constexpr milliseconds kProbeInterval{1'000};
constexpr milliseconds kRebalanceInterval{300};
// A plan for each measurement of the loads.
constexpr milliseconds kCompleteRebalanceInterval{250};
// How long a range has its owner before a complete plan moves it again.
constexpr milliseconds kMinOwnershipTime{200};
// A complete plan lets this time pass between the start of a move, from which
// on the dispatcher issues no permits for its keys, and the release: requests
// with an earlier permit would be turned away by the owner.
constexpr milliseconds kPermitUseTime{40};
// One write completes all moves whose releases are confirmed in this time.
constexpr milliseconds kMinTableWriteInterval{80};
// The usual time from the start of a move to the answer to its release.
constexpr milliseconds kExpectedReleaseTime{300};

}  // namespace

void key_coordinator::TakeOver(key_table table,
                               store_version revision,
                               std::optional<instant> former_stopped_by,
                               instant now) {
  ++takeovers_;
  table_ = std::move(table);
  revision_ = revision;
  former_stopped_by_ = former_stopped_by;
  pending_write_.reset();
  must_repeat_write_ = false;
  grants_await_write_ = false;
  moves_.clear();
  granted_ranges_.clear();
  reachability_.clear();
  next_plan_ = now + kRebalanceInterval;
  for (const key_assignment& assignment : table_.assignments()) {
    granted_ranges_.push_back(
        {assignment.range, assignment.fence, assignment.owner,
         grant_record::Inherited(former_stopped_by, now)});
  }
}

void key_coordinator::Reassert(const store_era& era,
                               store_version revision,
                               instant now) {
  key_table own = table_.InEra(era);
  if (pending_write_) {
    for (const key_reassignment& unknown : pending_write_->reassignments) {
      own = own.Without(unknown.range);
    }
  }
  TakeOver(std::move(own), revision, std::nullopt, now);
  OnHistoryLost();
  WritePresentTable();
}

void key_coordinator::TakeOverCopy(const key_table& table,
                                   const store_era& era,
                                   store_version revision,
                                   instant former_stopped_by,
                                   instant now) {
  TakeOver(table.WithNewFences(era), revision, former_stopped_by, now);
  WritePresentTable();
  grants_await_write_ = true;
}

void key_coordinator::WritePresentTable() {
  pending_write_ = write_key_table{table_, revision_, {}, {}};
  must_repeat_write_ = true;
}

bool key_coordinator::MayMove(instant now) const {
  return !history_lost_ ||
         (former_stopped_by_ &&
          now >= *former_stopped_by_ + timing_.MaxGrantLifetime());
}

void key_coordinator::OnFormerStopped(instant stopped_by) {
  if (former_stopped_by_) {
    return;
  }
  former_stopped_by_ = stopped_by;
  for (granted_range& granted : granted_ranges_) {
    granted.grants.OnFormerStopped(stopped_by);
  }
  for (key_move& move : moves_) {
    move.grants().OnFormerStopped(stopped_by);
  }
}

void key_coordinator::SetEndpoints(std::vector<fleet_endpoint> endpoints) {
  endpoints_ = std::move(endpoints);
  std::sort(endpoints_.begin(), endpoints_.end(),
            [](const fleet_endpoint& a, const fleet_endpoint& b) {
              return a.instance < b.instance;
            });
  for (const fleet_endpoint& endpoint : endpoints_) {
    last_address_.insert_or_assign(endpoint.instance, endpoint.where);
  }
}

void key_coordinator::SetLoads(std::vector<shard_load> loads,
                               std::map<endpoint_id, double> capacities) {
  loads_ = std::move(loads);
  capacities_ = std::move(capacities);
}

key_move* key_coordinator::FindMove(move_number number) {
  const auto found = std::find_if(
      moves_.begin(), moves_.end(),
      [&](const key_move& move) { return move.number() == number; });
  return found == moves_.end() ? nullptr : &*found;
}

const fleet_endpoint* key_coordinator::FindEndpoint(
    const endpoint_id& id) const {
  const auto found = std::lower_bound(
      endpoints_.begin(), endpoints_.end(), id,
      [](const fleet_endpoint& endpoint, const endpoint_id& wanted) {
        return endpoint.instance.endpoint < wanted;
      });
  return found == endpoints_.end() || found->instance.endpoint != id ? nullptr
                                                                     : &*found;
}

bool key_coordinator::IsLost(const endpoint_instance& instance) const {
  const auto found = reachability_.find(instance);
  return found != reachability_.end() &&
         found->second.consecutive_failures >= kFailuresUntilLost;
}

bool key_coordinator::IsUsable(const endpoint_instance& instance) const {
  const fleet_endpoint* entry = FindEndpoint(instance.endpoint);
  return entry != nullptr && entry->instance == instance &&
         entry->TakesRequests() && !IsLost(instance);
}

bool key_coordinator::HasProcessEnded(const endpoint_instance& instance) const {
  return std::any_of(
      endpoints_.begin(), endpoints_.end(),
      [&](const fleet_endpoint& endpoint) {
        return endpoint.instance.run > instance.run &&
               (endpoint.instance.endpoint == instance.endpoint ||
                IsAddressOf(instance, endpoint.where));
      });
}

bool key_coordinator::IsAddressOf(const endpoint_instance& instance,
                                  const address& where) const {
  const auto last_known = last_address_.find(instance);
  return last_known != last_address_.end() && last_known->second == where;
}

std::optional<address> key_coordinator::GrantHolderAddress(
    const endpoint_instance& instance) const {
  const auto last_known = last_address_.find(instance);
  const fleet_endpoint* entry = FindEndpoint(instance.endpoint);
  if (entry != nullptr && entry->instance.run > instance.run) {
    const bool has_other_address =
        last_known != last_address_.end() && last_known->second != entry->where;
    return has_other_address ? std::nullopt : std::optional(entry->where);
  }
  if (last_known == last_address_.end() || HasProcessEnded(instance)) {
    return std::nullopt;
  }
  return last_known->second;
}

void key_coordinator::ForgetGoneEndpoints() {
  if (known_endpoint_count() <= endpoints_.size()) {
    return;
  }
  std::set<endpoint_instance> in_use;
  for (const fleet_endpoint& endpoint : endpoints_) {
    in_use.insert(endpoint.instance);
  }
  for (const key_assignment& assignment : table_.assignments()) {
    in_use.insert(assignment.owner);
  }
  if (pending_write_) {
    for (const key_reassignment& pending : pending_write_->reassignments) {
      in_use.insert(pending.to);
    }
  }
  for (const key_move& move : moves_) {
    in_use.insert(move.from());
  }
  const auto is_gone = [&](const auto& entry) {
    return !in_use.contains(entry.first);
  };
  std::erase_if(last_address_, is_gone);
  std::erase_if(reachability_, is_gone);
}

void key_coordinator::RecordOrderOutcome(const endpoint_instance& instance,
                                         bool answered) {
  endpoint_reachability& reachability = reachability_[instance];
  reachability.consecutive_failures =
      answered ? 0 : reachability.consecutive_failures + 1;
}

void key_coordinator::OnGrantReply(const send_grant& sent,
                                   instant sent_at,
                                   const grant_reply& reply,
                                   instant now) {
  const bool answered = reply.verdict == grant_verdict::kAccepted ||
                        reply.verdict == grant_verdict::kSuperseded;
  RecordOrderOutcome(sent.endpoint, answered);
  const auto record_reply = [&](grant_record& grants) {
    if (sent.takeovers != takeovers_) {
      // Another grant of the range may be in flight now.
      if (reply.sent) {
        grants.OnEarlierResult(sent_at, timing_, now);
      }
    } else if (reply.verdict == grant_verdict::kAccepted) {
      grants.OnAccepted(sent_at, timing_, now);
    } else if (answered) {
      grants.OnSuperseded(sent_at, timing_, now);
    } else {
      grants.OnUnanswered(sent_at, reply.sent, timing_, now);
    }
  };
  // A grant from before the takeover may be for a part of a range that has been
  // joined since.
  const auto concerns = [&](const endpoint_instance& owner,
                            const key_range& range) {
    return owner == sent.endpoint &&
           (sent.takeovers == takeovers_ ? sent.grant.range.Contains(range)
                                         : sent.grant.range.Overlaps(range));
  };
  for (key_move& move : moves_) {
    if (concerns(move.from(), move.range())) {
      record_reply(move.grants());
    }
  }
  std::vector<granted_range> superseded;
  for (granted_range& granted : granted_ranges_) {
    // The range has a higher fence if a table that joins it was written while
    // the grant was in flight.
    if (concerns(granted.owner, granted.range)) {
      record_reply(granted.grants);
      if (reply.verdict == grant_verdict::kSuperseded &&
          granted.fence == sent.grant.fence) {
        superseded.push_back(granted);
      }
    }
  }
  // The endpoint has seen a higher fence than the table has: the range is
  // assigned to it again with a new fence.
  for (const granted_range& granted : superseded) {
    StartMove(granted, granted.range, granted.owner, now, now);
  }
}

void key_coordinator::OnReleaseReply(const send_release& sent,
                                     std::optional<std::string> handover,
                                     instant now) {
  RecordOrderOutcome(sent.endpoint, handover.has_value());
  if (key_move* move = FindMove(sent.move)) {
    move->OnReleaseReply(std::move(handover), now);
  }
}

void key_coordinator::OnReleaseUnsent(const send_release& sent, instant now) {
  RecordOrderOutcome(sent.endpoint, false);
  if (key_move* move = FindMove(sent.move)) {
    move->OnReleaseUnsent(now);
  }
}

void key_coordinator::OnReleaseWithdrawn(const send_release& sent,
                                         instant now) {
  if (key_move* move = FindMove(sent.move)) {
    move->OnReleaseReply(std::nullopt, now);
  }
}

void key_coordinator::OnWritten(store_version revision, instant now) {
  if (!pending_write_) {
    return;
  }
  const write_key_table written = *std::exchange(pending_write_, std::nullopt);
  table_ = written.table;
  revision_ = revision;
  for (granted_range& granted : granted_ranges_) {
    const bool was_joined = std::any_of(
        written.joined.begin(), written.joined.end(),
        [&](const key_range& range) { return range.Contains(granted.range); });
    if (was_joined) {
      granted.fence = table_.Find(granted.range.first)->fence;
    }
  }
  for (const key_reassignment& reassigned : written.reassignments) {
    const key_move* move = FindMove(reassigned.move);
    const bool returns = move != nullptr && reassigned.to == reassigned.from;
    granted_ranges_.push_back(
        {reassigned.range, reassigned.fence, reassigned.to,
         returns ? grant_record::ReturnedToOwner(move->grants(),
                                                 reassigned.handover, now)
                 : grant_record::New(reassigned.handover, now)});
  }
  for (const key_reassignment& reassigned : written.reassignments) {
    std::erase_if(moves_, [&](const key_move& move) {
      return move.number() == reassigned.move;
    });
  }
}

void key_coordinator::OnWriteUnknown() {
  must_repeat_write_ = pending_write_.has_value();
}

void key_coordinator::OnNotWritten(const key_table& current,
                                   store_version revision,
                                   instant now) {
  pending_write_.reset();
  if (revision != revision_) {
    // The assignments in `current` are in force. A write of this daemon takes
    // effect only while it is the coordinator, so only this daemon or a former
    // coordinator can have written a table that such a write may replace. If
    // the former ones have stopped, all grants so far were sent by `now`, this
    // coordinator's own included.
    TakeOver(current, revision,
             former_stopped_by_ ? std::optional(now) : std::nullopt, now);
  }
}

std::vector<coordinator_action>
key_coordinator::Advance(instant authority_until, bool may_write, instant now) {
  std::vector<coordinator_action> actions;
  ForgetGoneEndpoints();
  RefreshGrantedRanges();
  if (may_write && !MayMove(now)) {
    if (pending_write_) {
      AddTableWrite(actions, now);
    }
  } else if (may_write) {
    CancelMoves(now);
    StartForcedMoves(now);
    StartPlannedMoves(now);
    AddTableWrite(actions, now);
  }
  if (now < authority_until) {
    if (!handing_over_) {
      AddReleases(actions, now);
      AddProbes(actions, now);
    }
    AddGrants(actions, now);
  }
  if (ReachesTooFewOwners()) {
    actions.emplace_back(resign_coordinator());
  }
  return actions;
}

void key_coordinator::AddGrantedRange(
    const key_assignment& assignment,
    const key_range& range,
    const granted_range& former,
    std::vector<granted_range>& granted_ranges) {
  const key_range overlap{std::max(former.range.first, range.first),
                          std::min(former.range.last, range.last)};
  if (former.fence != assignment.fence || overlap.last < overlap.first) {
    return;
  }
  granted_range granted{overlap, assignment.fence, assignment.owner,
                        former.grants};
  granted_range* previous =
      granted_ranges.empty() ? nullptr : &granted_ranges.back();
  // Ranges with a grant in flight aren't merged, because the answer to a grant
  // applies to the range that was granted.
  if (previous != nullptr && previous->fence == granted.fence &&
      previous->range.last + 1 == overlap.first &&
      grant_record::CanMerge(previous->grants, granted.grants)) {
    previous->range.last = overlap.last;
    previous->grants = grant_record::Merged(previous->grants, granted.grants);
  } else {
    granted_ranges.push_back(std::move(granted));
  }
}

void key_coordinator::RefreshGrantedRanges() {
  std::sort(granted_ranges_.begin(), granted_ranges_.end(),
            [](const granted_range& a, const granted_range& b) {
              return a.range < b.range;
            });
  std::vector<key_range> moving;
  for (const key_move& move : moves_) {
    moving.push_back(move.range());
  }
  std::sort(moving.begin(), moving.end());
  std::vector<granted_range> granted_ranges;
  granted_ranges.reserve(granted_ranges_.size());
  // All three lists are in ascending order, so one pass is enough.
  auto next_moving = moving.begin();
  auto next_former = granted_ranges_.begin();
  for (const key_assignment& assignment : table_.assignments()) {
    const key_range& whole = assignment.range;
    while (next_moving != moving.end() && next_moving->last < whole.first) {
      ++next_moving;
    }
    std::vector<key_range> moving_here;
    for (auto each = next_moving;
         each != moving.end() && each->first <= whole.last; ++each) {
      if (whole.Contains(*each)) {
        moving_here.push_back(*each);
      }
    }
    while (next_former != granted_ranges_.end() &&
           next_former->range.last < whole.first) {
      ++next_former;
    }
    for (const key_range& range : whole.Without(std::move(moving_here))) {
      for (auto former = next_former;
           former != granted_ranges_.end() && former->range.first <= range.last;
           ++former) {
        AddGrantedRange(assignment, range, *former, granted_ranges);
      }
    }
  }
  granted_ranges_ = std::move(granted_ranges);
}

void key_coordinator::StartMove(const granted_range& granted,
                                const key_range& range,
                                const std::optional<endpoint_instance>& to,
                                instant release_at,
                                instant now) {
  moves_.push_back(key_move::FromOwner(NextMoveNumber(), range, granted.owner,
                                       granted.grants, to, release_at, now));
}

void key_coordinator::CancelMoves(instant now) {
  if (pending_write_) {
    return;
  }
  const auto cancelled_count = std::erase_if(moves_, [&](key_move& move) {
    if (move.to() || !IsUsable(move.from())) {
      return false;
    }
    // The owner didn't answer for some time and is usable again. A range that
    // it has released needs a new fence. It is assigned to the same owner
    // without waiting, because no other endpoint can have a grant of these
    // keys.
    move.ReturnToOwner();
    const bool cancel = !move.was_released() && !move.is_release_in_flight();
    if (cancel) {
      // A release without an answer may have ended the grant.
      move.grants().RenewNow(now);
      const key_assignment* assignment = table_.Find(move.range().first);
      granted_ranges_.push_back(
          {move.range(), assignment->fence, move.from(), move.grants()});
    }
    return cancel;
  });
  if (cancelled_count > 0) {
    RefreshGrantedRanges();
  }
}

void key_coordinator::StartForcedMoves(instant now) {
  const std::size_t move_count_before = moves_.size();
  for (const granted_range& granted : granted_ranges_) {
    if (!IsUsable(granted.owner)) {
      StartMove(granted, granted.range, std::nullopt, now, now);
    }
  }
  for (const key_range& range : table_.Unassigned()) {
    const bool already_moving = std::any_of(
        moves_.begin(), moves_.end(),
        [&](const key_move& move) { return move.range() == range; });
    if (!already_moving) {
      moves_.push_back(key_move::WithoutOwner(NextMoveNumber(), range, now));
    }
  }
  if (moves_.size() != move_count_before) {
    RefreshGrantedRanges();
  }
}

key_plan_input key_coordinator::PlanInput() const {
  key_plan_input input;
  input.table = table_;
  input.loads = loads_;
  input.owner_capacities = OwnerCapacities();
  for (const key_move& move : moves_) {
    input.moving.push_back(move.range());
  }
  return input;
}

std::map<endpoint_instance, double> key_coordinator::OwnerCapacities() const {
  std::map<endpoint_instance, double> usable;
  for (const fleet_endpoint& endpoint : endpoints_) {
    if (IsUsable(endpoint.instance)) {
      const auto capacity = capacities_.find(endpoint.instance.endpoint);
      usable[endpoint.instance] =
          capacity == capacities_.end() ? endpoint.slots : capacity->second;
    }
  }
  return usable;
}

void key_coordinator::StartPlannedMoves(instant now) {
  if (now < next_plan_ || pending_write_) {
    return;
  }
  std::visit(
      overloaded{[&](const gradual_rebalance&) { StartGradualMoves(now); },
                 [&](const complete_rebalance&) { StartCompleteMoves(now); }},
      RebalancePolicyFor(endpoints_.size()));
}

bool key_coordinator::IsMovable(const granted_range& granted,
                                instant now) const {
  // Ranges with an unanswered grant aren't moved: they could get a new owner
  // only after that grant has expired, and would not be served until then. The
  // same holds if their grant may run out before the release is confirmed, as
  // after a pause of this process.
  const auto unconfirmed_expiry =
      granted.grants.LatestUnconfirmedExpiry(timing_);
  return !granted.grants.in_flight() && unconfirmed_expiry &&
         *unconfirmed_expiry <= now &&
         !granted.grants.IsRenewalOverdue(timing_, now);
}

void key_coordinator::StartGradualMoves(instant now) {
  if (!moves_.empty()) {
    return;
  }
  next_plan_ = now + kRebalanceInterval;
  key_plan_input input = PlanInput();
  for (const granted_range& granted : granted_ranges_) {
    if (!IsMovable(granted, now)) {
      input.moving.push_back(granted.range);
    }
  }
  StartMoves(PlanRebalance(input), now, now);
}

void key_coordinator::StartCompleteMoves(instant now) {
  next_plan_ = now + kCompleteRebalanceInterval;
  complete_plan_input input;
  input.owner_capacities = OwnerCapacities();
  input.loads = loads_;
  input.ranges.reserve(granted_ranges_.size() + moves_.size());
  for (const granted_range& granted : granted_ranges_) {
    // A move that is reversed or followed by another one at once would cost
    // more than it gains.
    const bool has_settled =
        granted.grants.assigned_at() + kMinOwnershipTime <= now;
    input.ranges.push_back(
        {granted.range, granted.owner, has_settled && IsMovable(granted, now)});
  }
  for (const key_move& move : moves_) {
    input.ranges.push_back(
        {move.range(), move.to().value_or(move.from()), false});
    input.moving.push_back(move.range());
  }
  StartMoves(PlanCompleteRebalance(std::move(input)), now + kPermitUseTime,
             now);
}

void key_coordinator::StartMoves(const std::vector<planned_move>& planned,
                                 instant release_at,
                                 instant now) {
  for (const planned_move& each : planned) {
    const auto after = std::upper_bound(
        granted_ranges_.begin(), granted_ranges_.end(), each.range.first,
        [](shard_key key, const granted_range& granted) {
          return key < granted.range.first;
        });
    if (after == granted_ranges_.begin()) {
      continue;
    }
    const granted_range& granted = *std::prev(after);
    if (granted.range.Contains(each.range)) {
      StartMove(granted, each.range, each.to, release_at, now);
    }
  }
  if (!planned.empty()) {
    RefreshGrantedRanges();
  }
}

move_number key_coordinator::NextMoveNumber() {
  last_move_ = move_number(last_move_.value() + 1);
  return last_move_;
}

std::optional<reassignment_reason> key_coordinator::ReasonToReassign(
    const key_move& move,
    instant now) const {
  if (move.from() == endpoint_instance()) {
    return reassignment_reason::kNoOwner;
  }
  if (HasProcessEnded(move.from()) && !GrantHolderAddress(move.from())) {
    return reassignment_reason::kProcessEnded;
  }
  // If the former owner isn't usable, the keys go to another endpoint and have
  // to wait for the former owner's grants.
  if (move.to() == move.from() && move.was_released() &&
      IsUsable(move.from())) {
    return reassignment_reason::kReturnsToOwner;
  }
  // A grant in flight may have been sent later than it was decided, by the
  // length of a pause of this process. Its result tells by when it arrived.
  if (move.grants().in_flight()) {
    return std::nullopt;
  }
  const std::optional<instant> reassignable_at = move.ReassignableAt(timing_);
  if (!reassignable_at || now < *reassignable_at) {
    return std::nullopt;
  }
  return move.IsEndProved(timing_) ? reassignment_reason::kReleased
                                   : reassignment_reason::kGrantsExpired;
}

write_key_table key_coordinator::JoinRanges(instant now) const {
  const std::vector<key_range> joinable = joiner_.JoinableRanges(
      granted_ranges_, RebalancePolicyFor(endpoints_.size()), now);
  if (joinable.empty()) {
    return {};
  }
  write_key_table write{table_, revision_, {}, {}};
  for (const key_range& range : joinable) {
    key_table joined = write.table.Joined(range);
    // A part may be a piece of a range whose other piece has a grant in flight.
    if (joined != write.table) {
      write.table = std::move(joined);
      write.joined.push_back(range);
    }
  }
  return write;
}

write_key_table key_coordinator::CompleteMoves(
    const std::vector<reassignable_move>& moves) const {
  write_key_table write{table_, revision_, {}, {}};
  const auto reassign = [&](const reassignable_move& source,
                            const key_range& range,
                            const endpoint_instance& owner) {
    const key_move& move = *source.move;
    write.table = write.table.With(range, owner);
    write.reassignments.push_back({range, move.number(), move.from(), owner,
                                   write.table.highest_fence(), source.reason,
                                   move.handover(), move.grants().times(),
                                   move.released_at()});
  };
  std::vector<key_range> ranges_without_owner;
  for (const reassignable_move& each : moves) {
    const std::optional<endpoint_instance>& to = each.move->to();
    if (to && IsUsable(*to)) {
      reassign(each, each.move->range(), *to);
    } else {
      ranges_without_owner.push_back(each.move->range());
    }
  }
  for (const planned_move& planned :
       PlanUnownedRanges(PlanInput(), ranges_without_owner)) {
    const auto source = std::find_if(
        moves.begin(), moves.end(), [&](const reassignable_move& each) {
          return each.move->range().Contains(planned.range);
        });
    reassign(*source, planned.range, planned.to);
  }
  return write;
}

std::vector<unserved_range> key_coordinator::UnservedRanges() const {
  std::vector<unserved_range> unserved;
  for (const key_move& move : moves_) {
    const bool can_release =
        IsUsable(move.from()) ||
        (HasProcessEnded(move.from()) && GrantHolderAddress(move.from()));
    const bool release_expected = !move.was_released() && can_release;
    const instant reassignable_at =
        move.ReassignableAt(timing_).value_or(instant::max());
    // An endpoint answers a release when the work on the keys has ended.
    const instant expected_release = move.started_at() + kExpectedReleaseTime;
    unserved.push_back(
        {move.range(), release_expected
                           ? expected_release
                           : std::max(expected_release, reassignable_at)});
  }
  for (const granted_range& granted : granted_ranges_) {
    if (!granted.grants.was_accepted()) {
      unserved.push_back({granted.range, instant()});
    }
  }
  return unserved;
}

void key_coordinator::AddTableWrite(std::vector<coordinator_action>& actions,
                                    instant now) {
  if (pending_write_) {
    if (std::exchange(must_repeat_write_, false)) {
      actions.emplace_back(*pending_write_);
    }
    return;
  }
  std::vector<reassignable_move> reassignable;
  for (const key_move& move : moves_) {
    if (const auto reason = ReasonToReassign(move, now)) {
      reassignable.push_back({&move, *reason});
    }
  }
  if (!moves_.empty() && (reassignable.empty() || now < next_write_)) {
    return;
  }
  write_key_table write =
      moves_.empty() ? JoinRanges(now) : CompleteMoves(reassignable);
  if (write.reassignments.empty() && write.joined.empty()) {
    return;
  }
  if (std::holds_alternative<complete_rebalance>(
          RebalancePolicyFor(endpoints_.size()))) {
    next_write_ = now + kMinTableWriteInterval;
  }
  pending_write_ = write;
  actions.emplace_back(std::move(write));
}

void key_coordinator::AddReleases(std::vector<coordinator_action>& actions,
                                  instant now) {
  for (key_move& move : moves_) {
    const std::optional<address> where = GrantHolderAddress(move.from());
    if (!move.IsReleaseDue(now) || !where) {
      continue;
    }
    move.OnReleaseSent();
    // After a release, endpoints still accept a grant with the old fence. Only
    // the conditions in IsReleaseDue() and ReasonToReassign() prevent two
    // endpoints from serving the same keys.
    actions.emplace_back(
        send_release{move.from(),
                     *where,
                     {move.range(), epoch(table_.highest_fence().value() + 1)},
                     move.number(),
                     move.grants().times()});
  }
}

void key_coordinator::AddProbes(std::vector<coordinator_action>& actions,
                                instant now) {
  for (auto& [instance, reachability] : reachability_) {
    if (reachability.consecutive_failures < kFailuresUntilLost ||
        now < reachability.next_probe) {
      continue;
    }
    reachability.next_probe = now + kProbeInterval;
    const fleet_endpoint* entry = FindEndpoint(instance.endpoint);
    const bool owns_keys =
        std::any_of(table_.assignments().begin(), table_.assignments().end(),
                    [&owner = instance](const key_assignment& assignment) {
                      return assignment.owner == owner;
                    });
    if (entry == nullptr || entry->instance != instance || owns_keys ||
        table_.assignments().empty()) {
      continue;
    }
    // The endpoint owns no keys, so the release has no effect. An answer shows
    // that the endpoint can be reached again.
    actions.emplace_back(send_release{
        instance,
        entry->where,
        {table_.assignments().front().range, table_.highest_fence()},
        move_number(),
        grant_times()});
  }
}

void key_coordinator::AddGrants(std::vector<coordinator_action>& actions,
                                instant now) {
  if (grants_await_write_ && pending_write_) {
    return;
  }
  grants_await_write_ = false;
  for (granted_range& granted : granted_ranges_) {
    const auto where = last_address_.find(granted.owner);
    if (!granted.grants.IsDue(now) || where == last_address_.end() ||
        !IsUsable(granted.owner)) {
      continue;
    }
    const grant_times earlier_grants = granted.grants.times();
    granted.grants.OnSent(now);
    actions.emplace_back(
        send_grant{granted.owner,
                   where->second,
                   {granted.range, granted.fence, timing_.grant_duration,
                    granted.grants.handover()},
                   earlier_grants,
                   takeovers_});
  }
}

bool key_coordinator::ReachesTooFewOwners() const {
  const bool any_in_doubt = std::any_of(
      reachability_.begin(), reachability_.end(), [](const auto& entry) {
        return entry.second.consecutive_failures >= kFailuresUntilInDoubt;
      });
  if (!any_in_doubt) {
    return false;
  }
  std::set<endpoint_instance> distinct_owners;
  std::size_t unresponsive_owners = 0;
  for (const key_assignment& assignment : table_.assignments()) {
    if (!distinct_owners.insert(assignment.owner).second) {
      continue;
    }
    const auto reachability = reachability_.find(assignment.owner);
    const fleet_endpoint* entry = FindEndpoint(assignment.owner.endpoint);
    if (reachability != reachability_.end() && entry != nullptr &&
        entry->instance == assignment.owner &&
        reachability->second.consecutive_failures >= kFailuresUntilInDoubt) {
      ++unresponsive_owners;
    }
  }
  return distinct_owners.size() >= kMinOwnersToResign &&
         unresponsive_owners * 2 > distinct_owners.size();
}

}  // namespace bluebell
