#include "bluebell/keyspace/key_coordinator.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bluebell {

namespace {

// Orders in a row without an answer after which an endpoint counts as lost.
constexpr std::uint32_t kFailuresUntilLost = 3;
// Orders without an answer after which an endpoint is in doubt.
constexpr std::uint32_t kFailuresInDoubt = 2;
// Below this many owners nothing follows from half of them being silent.
constexpr std::size_t kLeastOwnersToResign = 4;
constexpr milliseconds kProbeInterval{1'000};
constexpr milliseconds kReleaseRetry{300};
constexpr milliseconds kPlanInterval{300};
constexpr milliseconds kUsualRelease{300};

}  // namespace

void key_coordinator::TakeOver(key_table table,
                               store_version revision,
                               std::optional<instant> former_until,
                               instant now) {
  table_ = std::move(table);
  revision_ = revision;
  former_until_ = former_until;
  writing_.reset();
  write_again_ = false;
  completing_.clear();
  moves_.clear();
  parts_.clear();
  contacts_.clear();
  next_plan_ = now + kPlanInterval;
  for (const key_assignment& each : table_.assignments()) {
    parts_.push_back({each.range, each.fence, each.owner,
                      grant_record::Inherited(former_until, now)});
  }
}

void key_coordinator::SetFormerUntil(instant until) {
  if (former_until_) {
    return;
  }
  former_until_ = until;
  for (granted_part& part : parts_) {
    part.grants.SetFormerUntil(until);
  }
  for (key_move& move : moves_) {
    move.grants.SetFormerUntil(until);
  }
}

void key_coordinator::SetEndpoints(std::vector<fleet_endpoint> endpoints) {
  endpoints_ = std::move(endpoints);
  for (const fleet_endpoint& each : endpoints_) {
    last_address_.insert_or_assign(each.instance, each.where);
  }
}

void key_coordinator::SetLoads(std::vector<shard_load> loads,
                               std::map<endpoint_id, double> capacities) {
  loads_ = std::move(loads);
  capacities_ = std::move(capacities);
}

const fleet_endpoint* key_coordinator::FindEndpoint(
    const endpoint_id& id) const {
  const auto found = std::find_if(
      endpoints_.begin(), endpoints_.end(),
      [&](const fleet_endpoint& each) { return each.instance.endpoint == id; });
  return found == endpoints_.end() ? nullptr : &*found;
}

bool key_coordinator::IsLost(const endpoint_instance& instance) const {
  const auto found = contacts_.find(instance);
  return found != contacts_.end() &&
         found->second.failures >= kFailuresUntilLost;
}

bool key_coordinator::IsUsable(const endpoint_instance& instance) const {
  const fleet_endpoint* entry = FindEndpoint(instance.endpoint);
  return entry != nullptr && entry->instance == instance && !entry->draining &&
         !IsLost(instance);
}

bool key_coordinator::HasEnded(const endpoint_instance& instance) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(),
                     [&](const fleet_endpoint& each) {
                       return each.instance.run > instance.run &&
                              (each.instance.endpoint == instance.endpoint ||
                               IsAddressOf(instance, each.where));
                     });
}

bool key_coordinator::IsAddressOf(const endpoint_instance& instance,
                                  const address& where) const {
  const auto known = last_address_.find(instance);
  return known != last_address_.end() && known->second == where;
}

std::optional<address> key_coordinator::HolderAddress(
    const endpoint_instance& instance) const {
  const auto known = last_address_.find(instance);
  const fleet_endpoint* entry = FindEndpoint(instance.endpoint);
  if (entry != nullptr && entry->instance.run > instance.run) {
    const bool elsewhere =
        known != last_address_.end() && known->second != entry->where;
    return elsewhere ? std::nullopt : std::optional(entry->where);
  }
  if (known == last_address_.end() || HasEnded(instance)) {
    return std::nullopt;
  }
  return known->second;
}

void key_coordinator::OnContact(const endpoint_instance& instance,
                                bool answered) {
  contact& known = contacts_[instance];
  known.failures = answered ? 0 : known.failures + 1;
}

void key_coordinator::OnGrantReply(const send_grant& sent,
                                   instant sent_at,
                                   const grant_reply& reply,
                                   instant now) {
  const bool answered = reply.verdict == grant_verdict::kAccepted ||
                        reply.verdict == grant_verdict::kSuperseded;
  OnContact(sent.endpoint, answered);
  const auto apply = [&](grant_record& grants) {
    if (answered) {
      grants.OnAnswered(sent_at, timing_);
    } else {
      grants.OnUnanswered(sent_at, reply.sent, timing_, now);
    }
  };
  for (key_move& move : moves_) {
    if (move.from == sent.endpoint && sent.grant.range.Contains(move.range)) {
      apply(move.grants);
    }
  }
  std::vector<granted_part> superseded;
  for (granted_part& part : parts_) {
    if (part.fence == sent.grant.fence &&
        sent.grant.range.Contains(part.range)) {
      apply(part.grants);
      if (reply.verdict == grant_verdict::kSuperseded) {
        superseded.push_back(part);
      }
    }
  }
  // The endpoint knows a higher fence than the table: assign the range anew.
  for (const granted_part& part : superseded) {
    StartMove(part, part.range, part.owner, now);
  }
}

void key_coordinator::OnReleaseReply(const send_release& sent,
                                     std::optional<std::string> handover,
                                     instant now) {
  OnContact(sent.endpoint, handover.has_value());
  for (key_move& move : moves_) {
    if (move.range != sent.release.range || move.from != sent.endpoint) {
      continue;
    }
    move.release_in_flight = false;
    move.next_release = now + kReleaseRetry;
    if (handover) {
      move.released = true;
      move.handover = *handover;
    }
  }
}

void key_coordinator::OnWritten(store_version revision, instant now) {
  if (!writing_) {
    return;
  }
  table_ = std::move(*writing_);
  writing_.reset();
  revision_ = revision;
  for (const completed_move& done : completing_) {
    std::erase_if(moves_, [&](const key_move& move) {
      return move.range.Contains(done.range);
    });
    const key_assignment* assignment = table_.Find(done.range.first);
    parts_.push_back({done.range, assignment->fence, assignment->owner,
                      grant_record::New(done.handover, now)});
  }
  completing_.clear();
}

void key_coordinator::OnWriteUnknown() {
  write_again_ = writing_.has_value();
}

void key_coordinator::OnNotWritten(const key_table& current,
                                   store_version revision,
                                   instant now) {
  writing_.reset();
  completing_.clear();
  if (revision != revision_) {
    // Another daemon wrote: its assignments count, with unknown grants.
    TakeOver(current, revision, std::nullopt, now);
  }
}

std::vector<coordinator_action>
key_coordinator::Advance(instant authority_until, bool may_write, instant now) {
  std::vector<coordinator_action> actions;
  RefreshParts();
  if (may_write) {
    CancelMoves(now);
    StartForcedMoves(now);
    StartPlannedMoves(now);
    AddTableWrite(actions, now);
  }
  if (now < authority_until) {
    AddReleases(actions, now);
    AddProbes(actions, now);
    AddGrants(actions, now);
  }
  if (ReachesTooFew()) {
    actions.emplace_back(resign_coordinator());
  }
  return actions;
}

std::vector<key_range> key_coordinator::RestingParts(
    const key_assignment& assignment) const {
  std::vector<key_range> moving;
  for (const key_move& move : moves_) {
    if (assignment.range.Contains(move.range)) {
      moving.push_back(move.range);
    }
  }
  return assignment.range.Without(moving);
}

void key_coordinator::AddParts(const key_assignment& assignment,
                               const key_range& range,
                               std::vector<granted_part>& parts) const {
  for (const granted_part& known : parts_) {
    const key_range common{std::max(known.range.first, range.first),
                           std::min(known.range.last, range.last)};
    if (known.fence != assignment.fence || common.last < common.first) {
      continue;
    }
    granted_part part{common, assignment.fence, assignment.owner, known.grants};
    granted_part* before = parts.empty() ? nullptr : &parts.back();
    // Parts whose answers are still to come stay apart, since each answer
    // belongs to the range that it was asked for.
    if (before != nullptr && before->fence == part.fence &&
        before->range.last + 1 == common.first &&
        grant_record::CanMerge(before->grants, part.grants)) {
      before->range.last = common.last;
      before->grants = grant_record::Merged(before->grants, part.grants);
    } else {
      parts.push_back(std::move(part));
    }
  }
}

void key_coordinator::RefreshParts() {
  std::sort(parts_.begin(), parts_.end(),
            [](const granted_part& a, const granted_part& b) {
              return a.range < b.range;
            });
  std::vector<granted_part> parts;
  for (const key_assignment& assignment : table_.assignments()) {
    for (const key_range& range : RestingParts(assignment)) {
      AddParts(assignment, range, parts);
    }
  }
  parts_ = std::move(parts);
}

void key_coordinator::StartMove(const granted_part& part,
                                const key_range& range,
                                const std::optional<endpoint_instance>& to,
                                instant now) {
  key_move move{range, part.owner, to, part.grants, false, {}, false, now, now};
  moves_.push_back(std::move(move));
}

void key_coordinator::CancelMoves(instant now) {
  if (writing_) {
    return;
  }
  const auto cancelled = std::erase_if(moves_, [&](key_move& move) {
    if (move.to || !IsUsable(move.from)) {
      return false;
    }
    // Its owner was silent for a while and is back. What it has released needs
    // a new fence; it gets that at once, since nobody else can hold the keys.
    move.to = move.from;
    const bool cancel = !move.released && !move.release_in_flight;
    if (cancel) {
      // A release that stayed without an answer may have ended the grant.
      move.grants.RenewNow(now);
      const key_assignment* assignment = table_.Find(move.range.first);
      parts_.push_back({move.range, assignment->fence, move.from, move.grants});
    }
    return cancel;
  });
  if (cancelled > 0) {
    RefreshParts();
  }
}

void key_coordinator::StartForcedMoves(instant now) {
  const std::size_t before = moves_.size();
  for (const granted_part& part : std::vector<granted_part>(parts_)) {
    if (!IsUsable(part.owner)) {
      StartMove(part, part.range, std::nullopt, now);
    }
  }
  for (const key_range& range : table_.Unassigned()) {
    const bool known =
        std::any_of(moves_.begin(), moves_.end(),
                    [&](const key_move& move) { return move.range == range; });
    if (!known) {
      moves_.push_back({range,
                        endpoint_instance(),
                        std::nullopt,
                        grant_record::New({}, now),
                        true,
                        {},
                        false,
                        now,
                        now});
    }
  }
  if (moves_.size() != before) {
    RefreshParts();
  }
}

key_plan_input key_coordinator::PlanInput() const {
  key_plan_input input;
  input.table = table_;
  input.loads = loads_;
  for (const fleet_endpoint& each : endpoints_) {
    if (IsUsable(each.instance)) {
      const auto measured = capacities_.find(each.instance.endpoint);
      input.owners[each.instance] =
          measured == capacities_.end() ? each.slots : measured->second;
    }
  }
  for (const key_move& move : moves_) {
    input.moving.push_back(move.range);
  }
  return input;
}

void key_coordinator::StartPlannedMoves(instant now) {
  if (now < next_plan_ || !moves_.empty() || writing_) {
    return;
  }
  next_plan_ = now + kPlanInterval;
  key_plan_input input = PlanInput();
  // A range with a grant that may still be carried out late would stay
  // without an owner until that is over.
  for (const granted_part& part : parts_) {
    const auto late = part.grants.LateGrantsUntil(timing_);
    if (!late || now < *late) {
      input.moving.push_back(part.range);
    }
  }
  for (const planned_move& planned : PlanRebalance(input)) {
    const auto part = std::find_if(parts_.begin(), parts_.end(),
                                   [&](const granted_part& each) {
                                     return each.range.Contains(planned.range);
                                   });
    if (part != parts_.end()) {
      StartMove(*part, planned.range, planned.to, now);
    }
  }
  RefreshParts();
}

bool key_coordinator::IsFree(const key_move& move, instant now) const {
  // If the owner can't take the keys back, they go to another endpoint.
  const bool back_to_owner =
      move.to == move.from && move.released && IsUsable(move.from);
  const bool nobody_holds = HasEnded(move.from) && !HolderAddress(move.from);
  if (nobody_holds || back_to_owner) {
    return true;
  }
  const std::optional<instant> until =
      move.released ? move.grants.LateGrantsUntil(timing_)
                    : move.grants.HeldUntil(timing_);
  return until && *until <= now;
}

key_table key_coordinator::TableAfter(
    const std::vector<const key_move*>& moves) {
  key_table next = table_;
  std::vector<key_range> orphans;
  for (const key_move* move : moves) {
    if (move->to && IsUsable(*move->to)) {
      next = next.With(move->range, *move->to);
      completing_.push_back({move->range, move->handover});
    } else {
      orphans.push_back(move->range);
    }
  }
  for (const planned_move& planned : PlanOrphans(PlanInput(), orphans)) {
    next = next.With(planned.range, planned.to);
    const auto origin =
        std::find_if(moves.begin(), moves.end(), [&](const key_move* move) {
          return move->range.Contains(planned.range);
        });
    completing_.push_back({planned.range, (*origin)->handover});
  }
  return next;
}

std::vector<unheld_range> key_coordinator::UnheldRanges() const {
  std::vector<unheld_range> unheld;
  for (const key_move& move : moves_) {
    const bool answers = IsUsable(move.from) ||
                         (HasEnded(move.from) && HolderAddress(move.from));
    const bool releasing = !move.released && answers;
    const std::optional<instant> until =
        move.released ? move.grants.LateGrantsUntil(timing_)
                      : move.grants.HeldUntil(timing_);
    // A release takes as long as the work that is running.
    const instant released = move.started + kUsualRelease;
    unheld.push_back(
        {move.range, releasing
                         ? released
                         : std::max(released, until.value_or(instant::max()))});
  }
  for (const granted_part& part : parts_) {
    if (!part.grants.was_accepted()) {
      unheld.push_back({part.range, instant()});
    }
  }
  return unheld;
}

void key_coordinator::AddTableWrite(std::vector<coordinator_action>& actions,
                                    instant now) {
  if (writing_) {
    if (std::exchange(write_again_, false)) {
      actions.emplace_back(write_key_table{*writing_, revision_});
    }
    return;
  }
  std::vector<const key_move*> free;
  for (const key_move& move : moves_) {
    if (IsFree(move, now)) {
      free.push_back(&move);
    }
  }
  if (free.empty()) {
    return;
  }
  completing_.clear();
  key_table next = TableAfter(free);
  if (completing_.empty()) {
    return;
  }
  writing_ = next;
  actions.emplace_back(write_key_table{std::move(next), revision_});
}

void key_coordinator::AddReleases(std::vector<coordinator_action>& actions,
                                  instant now) {
  for (key_move& move : moves_) {
    const std::optional<address> where = HolderAddress(move.from);
    // A release could overtake a grant on its way, which would then give the
    // keys back to an endpoint that has confirmed the release.
    if (move.grants.in_flight() || move.released || move.release_in_flight ||
        now < move.next_release || !where) {
      continue;
    }
    move.release_in_flight = true;
    // Endpoints take a grant with the old fence again after this, so only the
    // waits above and in IsFree() keep the keys from having two holders.
    actions.emplace_back(
        send_release{move.from,
                     *where,
                     {move.range, epoch(table_.highest_fence().value() + 1)}});
  }
}

void key_coordinator::AddProbes(std::vector<coordinator_action>& actions,
                                instant now) {
  for (auto& [instance, known] : contacts_) {
    if (known.failures < kFailuresUntilLost || now < known.probe_at) {
      continue;
    }
    known.probe_at = now + kProbeInterval;
    const fleet_endpoint* entry = FindEndpoint(instance.endpoint);
    const bool owns =
        std::any_of(table_.assignments().begin(), table_.assignments().end(),
                    [&owner = instance](const key_assignment& each) {
                      return each.owner == owner;
                    });
    if (entry == nullptr || entry->instance != instance || owns ||
        table_.assignments().empty()) {
      continue;
    }
    // It owns nothing, so releasing a range changes nothing; an answer shows
    // that it is back.
    actions.emplace_back(send_release{
        instance,
        entry->where,
        {table_.assignments().front().range, table_.highest_fence()}});
  }
}

void key_coordinator::AddGrants(std::vector<coordinator_action>& actions,
                                instant now) {
  for (granted_part& part : parts_) {
    const auto where = last_address_.find(part.owner);
    if (!part.grants.IsDue(now) || where == last_address_.end() ||
        !IsUsable(part.owner)) {
      continue;
    }
    part.grants.OnSent(now);
    actions.emplace_back(send_grant{
        part.owner,
        where->second,
        {part.range, part.fence, timing_.hold, part.grants.handover()}});
  }
}

bool key_coordinator::ReachesTooFew() const {
  std::set<endpoint_instance> owners;
  std::size_t silent = 0;
  for (const key_assignment& each : table_.assignments()) {
    if (!owners.insert(each.owner).second) {
      continue;
    }
    const auto known = contacts_.find(each.owner);
    const fleet_endpoint* entry = FindEndpoint(each.owner.endpoint);
    if (known != contacts_.end() && entry != nullptr &&
        entry->instance == each.owner &&
        known->second.failures >= kFailuresInDoubt) {
      ++silent;
    }
  }
  return owners.size() >= kLeastOwnersToResign && silent * 2 > owners.size();
}

}  // namespace bluebell
