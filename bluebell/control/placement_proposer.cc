#include "bluebell/control/placement_proposer.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <utility>

#include "bluebell/ownership/renewal_exclusion.h"

namespace bluebell {

namespace {

// Larger rosters make majorities slower without a benefit. The limit allows one
// member per host at the usual domain sizes and bounds the number of messages.
constexpr std::size_t kMaxRosterSize = 5;

// The number of moving slices at which no further planned move is started, so
// that a drain does not make all keys of an endpoint unavailable at once.
constexpr std::size_t kMaxConcurrentPlannedMoves = 8;

// How long an owner may be missing from all reports before it counts as lost.
constexpr milliseconds kMissingGrace{1'500};

// How long a new daemon waits until all listed endpoints are known before it
// assigns slices that are `unassigned`.
constexpr seconds kFirstAssignmentWait{3};

const endpoint_info* Find(const std::vector<endpoint_info>& endpoints,
                          const endpoint_id& id) {
  const auto found = std::find_if(
      endpoints.begin(), endpoints.end(),
      [&](const endpoint_info& e) { return e.instance.endpoint == id; });
  return found == endpoints.end() ? nullptr : &*found;
}

bool IsPlanned(move_cause cause) {
  return cause == move_cause::kEndpointDraining ||
         cause == move_cause::kRebalance || cause == move_cause::kOperator;
}

// Whether a member may stay on its roster: it is known, not replaced by a later
// run, not leaving and not silent for roster_silence.
bool StaysOnRoster(const placement_inputs& inputs,
                   const daemon_instance& member) {
  const member_view& view = inputs.view;
  if (member == view.self()) {
    return true;
  }
  const auto known = view.members().find(member.id);
  if (known == view.members().end() || known->second.leaving ||
      member.id == view.self().id) {
    return false;
  }
  if (known->second.instance.run > member.run) {
    return false;
  }
  const auto silence = view.Silence(member.id, inputs.now);
  return !silence || *silence < inputs.timing.roster_silence;
}

std::set<daemon_instance> DesiredRoster(const placement_inputs& inputs,
                                        const domain_roster& roster) {
  std::set<daemon_instance> desired;
  for (const daemon_instance& member : roster.members) {
    if (StaysOnRoster(inputs, member)) {
      desired.insert(member);
    }
  }
  const std::string role = "roster/" + inputs.local.table().service().value();
  const auto live = inputs.view.LiveIn(roster.domain, inputs.now);
  for (const daemon_instance& candidate : RankForRole(role, live)) {
    if (desired.size() < kMaxRosterSize) {
      desired.insert(candidate);
    }
  }
  return desired;
}

}  // namespace

std::optional<instant> FormerOwnerExcludedAt(const placement_inputs& inputs,
                                             const moving& state) {
  const local_table& local = inputs.local;
  const std::optional<instant> excluded =
      RenewalsExcludedAt(local.replica(), local.peers(), inputs.view.self(),
                         state.from_domain, state.since, inputs.timing);
  if (!excluded) {
    return std::nullopt;
  }
  const duration max_effect_delay = local.spec().checks_epoch
                                        ? inputs.timing.lease_term
                                        : inputs.timing.max_order_delay;
  return *excluded + WithDrift(max_effect_delay, inputs.timing);
}

placement_proposer::placement_proposer(const placement_policy& policy,
                                       instant started_at)
    : rebalancer_(policy), started_at_(started_at) {}

std::vector<table_edit> placement_proposer::Propose(
    const placement_inputs& inputs) {
  edits_.clear();
  ProposeRosters(inputs);
  ProposeRosterClearing(inputs);
  ProposeAssignments(inputs);
  ProposeMoves(inputs);
  if (edits_.empty()) {
    edits_ = rebalancer_.Propose(inputs);
  }
  return std::exchange(edits_, {});
}

void placement_proposer::ProposeRosters(const placement_inputs& inputs) {
  for (const domain_roster& roster : inputs.local.table().rosters()) {
    if (inputs.view.LiveIn(roster.domain, inputs.now).empty()) {
      continue;
    }
    std::set<daemon_instance> desired = DesiredRoster(inputs, roster);
    if (desired != roster.members) {
      edits_.emplace_back(set_roster{roster.domain, std::move(desired)});
    }
  }
}

void placement_proposer::ProposeRosterClearing(const placement_inputs& inputs) {
  const local_table& local = inputs.local;
  for (const domain_roster& roster : local.table().rosters()) {
    std::optional<table_version> up_to;
    for (const former_roster& former : roster.former_rosters) {
      const auto excluded =
          RosterExcludedAt(local.replica(), local.peers(), inputs.view.self(),
                           former.members, former.replaced_at, inputs.timing);
      if (!excluded || *excluded > inputs.now) {
        break;
      }
      up_to = former.replaced_at;
    }
    if (up_to) {
      edits_.emplace_back(clear_former_rosters{roster.domain, *up_to});
    }
  }
}

bool placement_proposer::MayBeAssigned(const placement_inputs& inputs,
                                       const slice& current) const {
  if (const auto* moving_state = std::get_if<moving>(&current.state)) {
    const std::optional<instant> released =
        FormerOwnerExcludedAt(inputs, *moving_state);
    return inputs.is_revocation_confirmed(current) ||
           (released && *released <= inputs.now);
  }
  // A new table waits until its endpoints are known. Otherwise the first few
  // endpoints that answer would get all slices.
  const bool all_known = inputs.endpoints.size() >= inputs.listed_endpoints;
  return std::holds_alternative<unassigned>(current.state) &&
         (all_known || inputs.now - started_at_ >= kFirstAssignmentWait);
}

void placement_proposer::ProposeAssignments(const placement_inputs& inputs) {
  std::vector<slice_range> assignable;
  for (const slice& current : inputs.local.table().slices()) {
    if (std::holds_alternative<owned>(current.state)) {
      continue;
    }
    const auto* moving_state = std::get_if<moving>(&current.state);
    const endpoint_info* from =
        moving_state != nullptr
            ? Find(inputs.endpoints, moving_state->from.endpoint)
            : nullptr;
    const bool owner_returned = from != nullptr && from->usable() &&
                                from->instance == moving_state->from &&
                                !inputs.silent_domains.contains(from->domain);
    if (owner_returned && !IsPlanned(moving_state->cause)) {
      edits_.emplace_back(
          assign_slice{current.range, from->instance, from->domain});
    } else if (MayBeAssigned(inputs, current)) {
      assignable.push_back(current.range);
    }
  }
  if (assignable.empty()) {
    return;
  }
  std::map<slice_range, endpoint_instance> owners;
  for (const move_slice& planned : rebalancer_.PlanAssignments(inputs)) {
    owners.emplace(planned.range, planned.to);
  }
  for (const slice_range& range : assignable) {
    const slice& current = inputs.local.table().FindSlice(range.first);
    const auto* moving_state = std::get_if<moving>(&current.state);
    const endpoint_info* target =
        moving_state != nullptr && moving_state->to
            ? Find(inputs.endpoints, *moving_state->to)
            : nullptr;
    const auto planned = owners.find(range);
    if ((target == nullptr || !target->usable()) && planned != owners.end()) {
      target = Find(inputs.endpoints, planned->second.endpoint);
    }
    if (target != nullptr && target->usable() &&
        !inputs.silent_domains.contains(target->domain)) {
      edits_.emplace_back(
          assign_slice{range, target->instance, target->domain});
    }
  }
}

void placement_proposer::ProposeMoves(const placement_inputs& inputs) {
  const std::vector<slice>& slices = inputs.local.table().slices();
  const auto is_moving = [](const slice& s) {
    return std::holds_alternative<moving>(s.state);
  };
  auto in_progress = static_cast<std::size_t>(
      std::count_if(slices.begin(), slices.end(), is_moving));
  const bool any_usable = std::any_of(
      inputs.endpoints.begin(), inputs.endpoints.end(),
      [&](const endpoint_info& e) {
        return e.usable() && !inputs.silent_domains.contains(e.domain);
      });
  if (!any_usable) {
    return;
  }
  for (const slice& current : slices) {
    const auto* ownership = std::get_if<owned>(&current.state);
    const auto cause =
        ownership ? MoveCauseFor(inputs, *ownership) : std::nullopt;
    if (!cause ||
        (IsPlanned(*cause) && in_progress >= kMaxConcurrentPlannedMoves)) {
      continue;
    }
    ++in_progress;
    edits_.emplace_back(begin_move{current.range, *cause, std::nullopt});
  }
}

std::optional<move_cause> placement_proposer::MoveCauseFor(
    const placement_inputs& inputs,
    const owned& ownership) {
  if (inputs.silent_domains.contains(ownership.domain)) {
    return move_cause::kDomainLost;
  }
  const endpoint_info* info = Find(inputs.endpoints, ownership.owner.endpoint);
  if (!info) {
    return IsMissing(inputs, ownership)
               ? std::optional(move_cause::kEndpointLost)
               : std::nullopt;
  }
  missing_since_.erase(ownership.owner);
  if (info->instance.run > ownership.owner.run) {
    return move_cause::kInstanceReplaced;
  }
  switch (info->condition) {
    case endpoint_condition::kLost:
      return move_cause::kEndpointLost;
    case endpoint_condition::kDraining:
      return move_cause::kEndpointDraining;
    case endpoint_condition::kServing:
      break;
  }
  return std::nullopt;
}

bool placement_proposer::IsMissing(const placement_inputs& inputs,
                                   const owned& ownership) {
  if (inputs.view.LiveIn(ownership.domain, inputs.now).empty()) {
    missing_since_.erase(ownership.owner);
    return false;
  }
  const auto [since, added] =
      missing_since_.try_emplace(ownership.owner, inputs.now);
  const instant counted_from = std::max(since->second, started_at_);
  return inputs.now - counted_from >= kMissingGrace;
}

}  // namespace bluebell
