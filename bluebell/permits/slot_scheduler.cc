#include "bluebell/permits/slot_scheduler.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

namespace bluebell {

namespace {

// A request in another failure domain costs a little more; at equal speed the
// asker's own domain is preferred.
constexpr double kOtherDomainCost = 1.1;
// An endpoint this much slower than the best one is used only if the wait for
// a better one is longer than what it costs.
constexpr double kMuchSlower = 2.5;
// While an endpoint starts it is this much slower.
constexpr double kColdSlowness = 2;
// The least share of a request's work that must fit before its deadline.
constexpr double kLeastShareOfWork = 0.5;
// After a response that shows that an owner doesn't hold its keys yet.
constexpr milliseconds kMisdirectedPause{40};
constexpr milliseconds kOwnerRetry{900};
constexpr milliseconds kNoEndpointRetry{500};
constexpr milliseconds kLeastRetry{60};
constexpr milliseconds kMostRetry{3'000};
// A grant that its holder doesn't report after this time was lost or is over.
constexpr milliseconds kUnreportedGrant{400};
// How long a daemon's own time limits may overrun.
constexpr milliseconds kExpirySlack{700};
// How long an endpoint's report of load from elsewhere counts.
constexpr milliseconds kForeignLoadTime{300};

}  // namespace

slot_scheduler::slot_scheduler(service_name service)
    : service_(std::move(service)) {}

void slot_scheduler::SetEndpoints(const std::vector<fleet_endpoint>& endpoints,
                                  const key_table* table,
                                  instant now) {
  keyed_ = table != nullptr;
  table_ = keyed_ ? *table : key_table();
  std::map<endpoint_id, endpoint_state> next;
  for (const fleet_endpoint& each : endpoints) {
    const endpoint_id& id = each.instance.endpoint;
    const auto known = endpoints_.find(id);
    if (known != endpoints_.end() &&
        known->second.about.instance == each.instance) {
      next[id] = std::move(known->second);
    } else {
      next[id].warm_from = now + each.warm_up;
    }
    next[id].about = each;
  }
  // Requests at endpoints that have left the list still run there.
  for (auto& [id, state] : endpoints_) {
    const auto kept = next.find(id);
    if (kept == next.end() && state.running > 0) {
      state.about.draining = true;
      next[id] = std::move(state);
    }
  }
  endpoints_ = std::move(next);
  std::erase_if(paused_,
                [now](const auto& pause) { return pause.second < now; });
}

void slot_scheduler::Ask(const permit_ask& ask, instant now) {
  if (const auto granted = running_.find(ask.id); granted != running_.end()) {
    const auto state = endpoints_.find(granted->second.endpoint);
    if (state != endpoints_.end()) {
      replies_.emplace_back(
          permit_granted{ask.id, service_, state->second.about.instance,
                         ExpectedAt(state->second, granted->second.work, now)});
    }
    return;
  }
  const bool waits = std::any_of(
      waiting_.begin(), waiting_.end(),
      [&](const waiting_request& each) { return each.ask.id == ask.id; });
  if (waits) {
    replies_.emplace_back(permit_queued{ask.id});
    return;
  }
  waiting_request request;
  request.ask = ask;
  request.arrived = now;
  request.objective = now + milliseconds(ask.objective_left_ms);
  request.deadline = now + milliseconds(ask.time_left_ms);
  request.work = work_.Expected(ask.route, milliseconds(ask.objective_left_ms));
  demand_.Add(ask.rank, request.work, now);
  if (const auto refusal = Unserviceable(ask, now)) {
    replies_.emplace_back(*refusal);
    return;
  }
  if (now + ForecastWait(ask, now) + request.work > request.deadline) {
    replies_.emplace_back(Overloaded(request, now));
    return;
  }
  waiting_.push_back(std::move(request));
}

void slot_scheduler::End(const permit_end& end, instant now) {
  const auto found = running_.find(end.id);
  if (found == running_.end()) {
    waiting_.remove_if(
        [&](const waiting_request& each) { return each.ask.id == end.id; });
    return;
  }
  const running_request ended = found->second;
  Free(end.id);
  const auto state = endpoints_.find(ended.endpoint);
  if (state == endpoints_.end()) {
    return;
  }
  endpoint_standing& standing = state->second.standing;
  const milliseconds took(end.took_ms);
  switch (end.outcome) {
    case permit_outcome::kAnswered:
      work_.Add(ended.route, took, standing.SlownessAt(now));
      standing.OnAnswered(took, ended.work, now);
      break;
    case permit_outcome::kFailed:
    case permit_outcome::kShed:
      standing.OnFailed(now);
      break;
    case permit_outcome::kMisdirected:
      if (ended.key) {
        paused_[ended.fence] = now + kMisdirectedPause;
      } else {
        standing.OnSilent(end.id.holder, now);
      }
      break;
    case permit_outcome::kUnreachable:
    case permit_outcome::kNoResponse:
      standing.OnSilent(end.id.holder, now);
      break;
    case permit_outcome::kAbandoned:
    case permit_outcome::kUnused:
      break;
  }
  if (end.load) {
    const std::uint32_t reported = end.load->running + end.load->waiting;
    const std::uint32_t ours = state->second.running;
    state->second.foreign = reported > ours ? reported - ours : 0;
    state->second.foreign_until = now + kForeignLoadTime;
  }
}

void slot_scheduler::Report(const permit_report& report, instant now) {
  std::set<permit_id> listed;
  for (const open_permit& open : report.open) {
    listed.insert(open.id);
    const auto state = endpoints_.find(open.endpoint);
    if (running_.contains(open.id) || state == endpoints_.end()) {
      continue;
    }
    running_request foreign;
    foreign.endpoint = open.endpoint;
    foreign.route = open.route;
    foreign.rank = open.rank;
    foreign.started = now;
    foreign.expires = now + kUnreportedGrant + kExpirySlack;
    foreign.work = work_.Expected(open.route, duration(0));
    running_.emplace(open.id, std::move(foreign));
    ++state->second.running;
    ++running_by_rank_[open.rank];
  }
  std::vector<permit_id> unused;
  for (auto& [id, running] : running_) {
    if (id.holder != report.holder) {
      continue;
    }
    if (listed.contains(id)) {
      running.expires =
          std::max(running.expires, now + kUnreportedGrant + kExpirySlack);
    } else if (running.started + kUnreportedGrant < now) {
      unused.push_back(id);
    }
  }
  for (const permit_id& id : unused) {
    Free(id);
  }
}

std::vector<permit_reply> slot_scheduler::TakeReplies(instant now) {
  ExpireRunning(now);
  RefuseHopeless(now);
  Assign(now);
  return std::exchange(replies_, {});
}

std::optional<instant> slot_scheduler::NextWakeup() const {
  std::optional<instant> next;
  const auto take = [&next](instant at) {
    next = next ? std::min(*next, at) : at;
  };
  for (const waiting_request& each : waiting_) {
    take(each.deadline -
         duration(static_cast<std::int64_t>(
             static_cast<double>(each.work.count()) * kLeastShareOfWork)));
  }
  if (!waiting_.empty()) {
    for (const auto& [fence, until] : paused_) {
      take(until);
    }
    for (const auto& [id, state] : endpoints_) {
      if (state.foreign > 0) {
        take(state.foreign_until);
      }
    }
  }
  return next;
}

bool slot_scheduler::IsFree(const endpoint_state& state, instant now) const {
  if (state.about.draining || state.standing.IsSuspended(now)) {
    return false;
  }
  const std::uint32_t limit =
      state.standing.IsOnProbation() ? 1 : state.about.slots;
  const std::uint32_t foreign = now < state.foreign_until ? state.foreign : 0;
  return state.running + foreign < limit;
}

double slot_scheduler::Slowness(const endpoint_state& state,
                                instant now) const {
  const double measured = state.standing.SlownessAt(now);
  return now < state.warm_from ? measured * kColdSlowness : measured;
}

std::uint32_t slot_scheduler::ExpectedAt(const endpoint_state& state,
                                         duration work,
                                         instant now) const {
  const std::chrono::duration<double, std::milli> expected =
      work * Slowness(state, now);
  return static_cast<std::uint32_t>(expected.count());
}

double slot_scheduler::Cost(const endpoint_state& state,
                            const waiting_request& request,
                            instant now) const {
  const bool elsewhere = state.about.domain != request.ask.domain;
  return Slowness(state, now) / state.standing.SuccessAt(now) *
         (elsewhere ? kOtherDomainCost : 1);
}

slot_scheduler::choice slot_scheduler::Choose(const waiting_request& request,
                                              instant now) {
  return keyed_ && request.ask.key ? ChooseOwner(request, now)
                                   : ChooseAny(request, now);
}

slot_scheduler::choice slot_scheduler::ChooseOwner(
    const waiting_request& request,
    instant now) {
  const key_assignment* assignment = table_.Find(*request.ask.key);
  if (assignment == nullptr) {
    return {};
  }
  const auto paused = paused_.find(assignment->fence);
  if (paused != paused_.end() && now < paused->second) {
    return {};
  }
  const auto state = endpoints_.find(assignment->owner.endpoint);
  if (state == endpoints_.end() || !IsFree(state->second, now)) {
    return {};
  }
  return {assignment, &state->second};
}

slot_scheduler::choice slot_scheduler::ChooseAny(const waiting_request& request,
                                                 instant now) {
  endpoint_state* best = nullptr;
  double best_cost = 0;
  double least_cost = std::numeric_limits<double>::max();
  const auto& avoid = request.ask.avoid;
  for (auto& [id, state] : endpoints_) {
    if (state.about.draining || state.standing.IsSuspended(now) ||
        std::find(avoid.begin(), avoid.end(), id) != avoid.end()) {
      continue;
    }
    const double cost = Cost(state, request, now);
    least_cost = std::min(least_cost, cost);
    if (IsFree(state, now) && (best == nullptr || cost < best_cost)) {
      best = &state;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return {};
  }
  const double work = static_cast<double>(request.work.count());
  const double wait =
      static_cast<double>(ForecastWait(request.ask, now).count());
  if (best_cost > kMuchSlower * least_cost &&
      (best_cost - least_cost) * work > wait) {
    return {};
  }
  return {nullptr, best};
}

std::optional<permit_refused> slot_scheduler::Unserviceable(
    const permit_ask& ask,
    instant now) const {
  const auto retry = [](milliseconds after) {
    return static_cast<std::uint32_t>(after.count());
  };
  if (endpoints_.empty()) {
    return permit_refused{ask.id, permit_refusal::kNoEndpoint,
                          retry(kNoEndpointRetry)};
  }
  if (!keyed_ || !ask.key) {
    return std::nullopt;
  }
  const key_assignment* assignment = table_.Find(*ask.key);
  const auto owner = assignment == nullptr
                         ? endpoints_.end()
                         : endpoints_.find(assignment->owner.endpoint);
  const bool avoided =
      owner != endpoints_.end() && std::find(ask.avoid.begin(), ask.avoid.end(),
                                             owner->first) != ask.avoid.end();
  if (owner == endpoints_.end() || avoided ||
      owner->second.standing.IsSuspended(now) ||
      owner->second.about.instance != assignment->owner) {
    return permit_refused{ask.id, permit_refusal::kOwnerUnavailable,
                          retry(kOwnerRetry)};
  }
  return std::nullopt;
}

bool slot_scheduler::WaitsForOwner(const waiting_request& request,
                                   const endpoint_instance& owner) const {
  if (!request.ask.key) {
    return false;
  }
  const key_assignment* assignment = table_.Find(*request.ask.key);
  return assignment != nullptr && assignment->owner == owner;
}

duration slot_scheduler::ForecastWait(const permit_ask& ask,
                                      instant now) const {
  const key_assignment* assignment =
      keyed_ && ask.key ? table_.Find(*ask.key) : nullptr;
  double slots = 0;
  bool free = false;
  for (const auto& [id, state] : endpoints_) {
    if (state.about.draining || state.standing.IsSuspended(now) ||
        (assignment != nullptr && assignment->owner.endpoint != id)) {
      continue;
    }
    slots += state.about.slots / Slowness(state, now);
    free = free || IsFree(state, now);
  }
  if (slots <= 0) {
    return duration(0);
  }
  double work = 0;
  bool waits_behind = false;
  for (const waiting_request& each : waiting_) {
    if (each.ask.rank > ask.rank || each.ask.id == ask.id) {
      continue;
    }
    if (assignment != nullptr && !WaitsForOwner(each, assignment->owner)) {
      continue;
    }
    waits_behind = true;
    work += static_cast<double>(each.work.count());
  }
  if (free && !waits_behind) {
    return duration(0);
  }
  // All slots are busy, so the first becomes free after a part of one request.
  work += static_cast<double>(work_.Expected(ask.route, duration(0)).count());
  return duration(static_cast<std::int64_t>(work / slots));
}

permit_refused slot_scheduler::Overloaded(const waiting_request& request,
                                          instant now) const {
  const duration wait = ForecastWait(request.ask, now);
  const auto retry = std::clamp<duration>(wait / 2, kLeastRetry, kMostRetry);
  return {request.ask.id, permit_refusal::kOverloaded,
          static_cast<std::uint32_t>(
              std::chrono::duration_cast<milliseconds>(retry).count())};
}

std::uint32_t slot_scheduler::FreeSlots(instant now) const {
  std::uint32_t free = 0;
  for (const auto& [id, state] : endpoints_) {
    if (IsFree(state, now)) {
      free += state.about.slots - std::min(state.about.slots, state.running);
    }
  }
  return free;
}

bool slot_scheduler::CanAnswerOnTime(const waiting_request& request,
                                     instant now) const {
  return now + request.work <= request.objective;
}

void slot_scheduler::Assign(instant now) {
  std::set<std::uint32_t> ranks;
  for (const waiting_request& each : waiting_) {
    ranks.insert(each.ask.rank);
  }
  for (const std::uint32_t rank : ranks) {
    AssignRank(rank, true, now);
    AssignRank(rank, false, now);
  }
}

void slot_scheduler::AssignRank(std::uint32_t rank, bool on_time, instant now) {
  // A keyed service has a queue for each owner, so nothing is held back there.
  const std::uint32_t reserve =
      keyed_ ? 0 : demand_.Reserve(rank, running_by_rank_, now);
  std::uint32_t free = FreeSlots(now);
  for (auto each = waiting_.begin();
       each != waiting_.end() && free > reserve;) {
    const auto next = std::next(each);
    if (each->ask.rank == rank && CanAnswerOnTime(*each, now) == on_time) {
      const choice where = Choose(*each, now);
      if (where.endpoint != nullptr) {
        Grant(*each, where, now);
        waiting_.erase(each);
        --free;
      }
    }
    each = next;
  }
}

void slot_scheduler::Grant(const waiting_request& request,
                           const choice& where,
                           instant now) {
  running_request started;
  started.endpoint = where.endpoint->about.instance.endpoint;
  started.route = request.ask.route;
  started.rank = request.ask.rank;
  started.key = request.ask.key;
  started.fence =
      where.assignment == nullptr ? epoch() : where.assignment->fence;
  started.started = now;
  started.expires = request.deadline + kExpirySlack;
  started.work = request.work;
  running_.insert_or_assign(request.ask.id, std::move(started));
  ++where.endpoint->running;
  ++running_by_rank_[request.ask.rank];
  if (keyed_ && request.ask.key) {
    key_loads_.Add(*request.ask.key, request.work, now);
  }
  replies_.emplace_back(
      permit_granted{request.ask.id, service_, where.endpoint->about.instance,
                     ExpectedAt(*where.endpoint, request.work, now)});
}

void slot_scheduler::RefuseHopeless(instant now) {
  for (auto each = waiting_.begin(); each != waiting_.end();) {
    const auto next = std::next(each);
    const duration least(static_cast<std::int64_t>(
        static_cast<double>(each->work.count()) * kLeastShareOfWork));
    if (const auto refusal = Unserviceable(each->ask, now)) {
      replies_.emplace_back(*refusal);
      waiting_.erase(each);
    } else if (now + least >= each->deadline) {
      replies_.emplace_back(Overloaded(*each, now));
      waiting_.erase(each);
    }
    each = next;
  }
}

void slot_scheduler::ExpireRunning(instant now) {
  std::vector<permit_id> expired;
  for (const auto& [id, running] : running_) {
    if (running.expires <= now) {
      expired.push_back(id);
    }
  }
  for (const permit_id& id : expired) {
    Free(id);
  }
}

void slot_scheduler::Free(const permit_id& id) {
  const auto found = running_.find(id);
  const auto state = endpoints_.find(found->second.endpoint);
  if (state != endpoints_.end() && state->second.running > 0) {
    --state->second.running;
  }
  --running_by_rank_[found->second.rank];
  running_.erase(found);
}

std::vector<shard_load> slot_scheduler::KeyLoads(instant now) const {
  return key_loads_.Loads(now);
}

std::map<endpoint_id, double> slot_scheduler::Capacities(instant now) const {
  std::map<endpoint_id, double> capacities;
  for (const auto& [id, state] : endpoints_) {
    capacities[id] = state.about.slots / std::max(0.1, Slowness(state, now));
  }
  return capacities;
}

std::vector<endpoint_id> slot_scheduler::SilentEndpoints(instant now) const {
  std::vector<endpoint_id> silent;
  for (const auto& [id, state] : endpoints_) {
    if (state.standing.IsSuspended(now)) {
      silent.push_back(id);
    }
  }
  return silent;
}

}  // namespace bluebell
