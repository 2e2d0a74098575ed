#include "bluebell/permits/slot_scheduler.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace bluebell {

namespace {

// A request in another failure domain costs a little more; at equal speed the
// asker's own domain is preferred.
constexpr double kOtherDomainCost = 1.35;
// An endpoint this much slower than the best one is used only if the wait for
// a better one is longer than what it costs.
constexpr double kMuchSlower = 2.5;
// While an endpoint starts it is this much slower.
constexpr double kColdSlowness = 2;
constexpr double kLeastSlowness = 0.1;
// How strongly slow endpoints are spared when keys are divided; 1 would use all
// endpoints equally.
constexpr double kSlownessWeight = 1.6;
// After a response that shows that an owner doesn't hold its keys yet.
// If it goes on, the pause doubles: the owner has lost the keys.
constexpr milliseconds kMisdirectedPause{40};
constexpr milliseconds kLongestPause{1'000};
// Requests wait for keys that are on their way to another owner this long.
constexpr milliseconds kShortMove{600};
constexpr milliseconds kOwnerRetry{900};
constexpr milliseconds kNoEndpointRetry{500};
constexpr milliseconds kLeastRetry{60};
constexpr milliseconds kMostRetry{3'000};
// A grant that its holder doesn't report after this time was lost or is over.
constexpr milliseconds kUnreportedGrant{400};
// How long a daemon's own time limits may overrun.
constexpr milliseconds kExpirySlack{700};
constexpr milliseconds kExpiryCheck{100};
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
  std::vector<waiting_request> owned = TakeOwned();
  std::map<endpoint_id, endpoint_state> next;
  for (const fleet_endpoint& each : endpoints) {
    const endpoint_id& id = each.instance.endpoint;
    const auto known = endpoints_.find(id);
    if (known != endpoints_.end() &&
        known->second.about.instance == each.instance) {
      next[id] = std::move(known->second);
      endpoints_.erase(known);
    } else {
      next[id].warm_from = now + each.warm_up;
    }
    next[id].about = each;
  }
  // Requests at endpoints that have left the list still run there.
  for (auto& [id, state] : endpoints_) {
    if (state.running > 0 && !next.contains(id)) {
      state.about.draining = true;
      next[id] = std::move(state);
    }
  }
  endpoints_ = std::move(next);
  std::erase_if(paused_, [&](const auto& entry) {
    return entry.second.until + kLongestPause <= now;
  });
  for (waiting_request& each : owned) {
    Place(std::move(each), now);
  }
  MarkAll();
}

std::vector<waiting_request> slot_scheduler::TakeOwned() {
  std::vector<waiting_request> owned;
  for (auto& [id, state] : endpoints_) {
    std::vector<waiting_request> queued = state.queue.TakeAll();
    std::move(queued.begin(), queued.end(), std::back_inserter(owned));
  }
  return owned;
}

void slot_scheduler::SetUnheld(std::vector<unheld_range> unheld, instant now) {
  unheld_ = std::move(unheld);
  for (waiting_request& each : TakeOwned()) {
    Place(std::move(each), now);
  }
  MarkAll();
}

const unheld_range* slot_scheduler::FindUnheld(const permit_ask& ask) const {
  const auto found =
      std::find_if(unheld_.begin(), unheld_.end(), [&](const auto& each) {
        return ask.key && each.range.Contains(*ask.key);
      });
  return found == unheld_.end() ? nullptr : &*found;
}

void slot_scheduler::MarkAll() {
  for (const auto& [id, state] : endpoints_) {
    if (!state.queue.empty()) {
      changed_.insert(id);
    }
  }
  shared_changed_ = true;
}

slot_scheduler::key_owner slot_scheduler::OwnerOf(const permit_ask& ask,
                                                  instant now) {
  const key_assignment* assignment = table_.Find(*ask.key);
  if (assignment == nullptr) {
    return {};
  }
  const auto owner = endpoints_.find(assignment->owner.endpoint);
  if (owner == endpoints_.end() ||
      owner->second.about.instance != assignment->owner ||
      owner->second.standing.IsSuspended(now) ||
      std::find(ask.avoid.begin(), ask.avoid.end(), owner->first) !=
          ask.avoid.end()) {
    return {};
  }
  return {&owner->second, assignment->fence};
}

void slot_scheduler::Ask(const permit_ask& ask, instant now) {
  if (const auto granted = running_.find(ask.id); granted != running_.end()) {
    const auto state = endpoints_.find(granted->second.endpoint);
    if (state != endpoints_.end()) {
      replies_.emplace_back(
          MakeGrant(ask.id, state->second, granted->second.work, now));
    }
    return;
  }
  const bool waits =
      shared_.Contains(ask.id) ||
      std::any_of(endpoints_.begin(), endpoints_.end(), [&](const auto& entry) {
        return entry.second.queue.Contains(ask.id);
      });
  if (waits) {
    replies_.emplace_back(permit_queued{ask.id});
    return;
  }
  waiting_request request;
  request.ask = ask;
  request.objective = now + milliseconds(ask.objective_left_ms);
  request.deadline = now + milliseconds(ask.time_left_ms);
  request.work = work_.Expected(ask.route, milliseconds(ask.objective_left_ms));
  demand_.Add(ask.rank, request.work, now);
  if (keyed_ && ask.key) {
    // Refused requests count as well: a key that is too busy for its owner must
    // not look quieter than it is.
    key_loads_.Add(*ask.key, request.work, now);
  }
  const permit_id id = ask.id;
  if (Place(std::move(request), now)) {
    // Tells the asker that this daemon is there, if no slot is free.
    replies_.emplace_back(permit_queued{id});
  }
}

bool slot_scheduler::Place(waiting_request request, instant now) {
  const permit_id id = request.ask.id;
  if (endpoints_.empty()) {
    Refuse(id, permit_refusal::kNoEndpoint, kNoEndpointRetry);
    return false;
  }
  duration wait(0);
  wait_queue* queue = &shared_;
  if (keyed_ && request.ask.key) {
    const key_owner owner = OwnerOf(request.ask, now);
    if (owner.endpoint == nullptr) {
      Refuse(id, permit_refusal::kOwnerUnavailable, kOwnerRetry);
      return false;
    }
    const unheld_range* unheld = FindUnheld(request.ask);
    if (unheld != nullptr && unheld->until > now + kShortMove) {
      const duration left = std::min<duration>(
          unheld->until == instant::max() ? kMostRetry : unheld->until - now,
          kMostRetry);
      Refuse(id, permit_refusal::kOwnerUnavailable,
             std::chrono::duration_cast<milliseconds>(left));
      return false;
    }
    const auto paused = paused_.find(owner.fence);
    if (paused != paused_.end() && paused->second.until > now + kShortMove) {
      Refuse(
          id, permit_refusal::kOwnerUnavailable,
          std::chrono::duration_cast<milliseconds>(paused->second.until - now));
      return false;
    }
    request.fence = owner.fence;
    wait = WaitAtOwner(*owner.endpoint, request.ask.rank, now);
    queue = &owner.endpoint->queue;
    changed_.insert(owner.endpoint->about.instance.endpoint);
  } else {
    wait = WaitForAny(request.ask.rank, now);
    shared_changed_ = true;
  }
  if (now + wait + request.work > request.deadline) {
    RefuseOverloaded(id, wait);
    return false;
  }
  next_hopeless_ = std::min(next_hopeless_, request.HopelessAt());
  queue->Push(std::move(request));
  return true;
}

void slot_scheduler::Refuse(const permit_id& id,
                            permit_refusal reason,
                            milliseconds retry) {
  replies_.emplace_back(
      permit_refused{id, reason, static_cast<std::uint32_t>(retry.count())});
}

void slot_scheduler::RefuseOverloaded(const permit_id& id, duration wait) {
  const auto retry = std::clamp<duration>(wait / 2, kLeastRetry, kMostRetry);
  Refuse(id, permit_refusal::kOverloaded,
         std::chrono::duration_cast<milliseconds>(retry));
}

duration slot_scheduler::WaitOf(const permit_ask& ask, instant now) {
  if (!keyed_ || !ask.key) {
    return WaitForAny(ask.rank, now);
  }
  const key_owner owner = OwnerOf(ask, now);
  return owner.endpoint == nullptr
             ? duration(0)
             : WaitAtOwner(*owner.endpoint, ask.rank, now);
}

void slot_scheduler::End(const permit_end& end, instant now) {
  const auto found = running_.find(end.id);
  if (found == running_.end()) {
    shared_.Remove(end.id);
    for (auto& [id, state] : endpoints_) {
      state.queue.Remove(end.id);
    }
    return;
  }
  const running_request ended = found->second;
  Free(end.id);
  Judge(end, ended, now);
}

void slot_scheduler::Judge(const permit_end& end,
                           const running_request& ended,
                           instant now) {
  const auto found = endpoints_.find(ended.endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  endpoint_state& state = found->second;
  const milliseconds took(end.took_ms);
  switch (end.outcome) {
    case permit_outcome::kAnswered:
      work_.Add(ended.route, took, state.standing.SlownessAt(now));
      state.standing.OnAnswered(took, ended.work, now);
      paused_.erase(ended.fence);
      break;
    case permit_outcome::kFailed:
    case permit_outcome::kShed:
      state.standing.OnFailed(now);
      break;
    case permit_outcome::kMisdirected:
      if (ended.fence != epoch()) {
        pause& rest = paused_[ended.fence];
        rest.length = std::clamp<duration>(rest.length * 2, kMisdirectedPause,
                                           kLongestPause);
        rest.until = now + rest.length;
        next_recheck_ = std::min(next_recheck_, rest.until);
      } else {
        state.standing.OnSilent(end.id.holder, now);
      }
      break;
    case permit_outcome::kUnreachable:
    case permit_outcome::kNoResponse:
      state.standing.OnSilent(end.id.holder, now);
      break;
    case permit_outcome::kAbandoned:
    case permit_outcome::kUnused:
      break;
  }
  if (end.load) {
    // The report still counts the request that it came with. Since no more are
    // sent than there are slots, only others' requests make some wait.
    const std::uint32_t reported = end.load->running + end.load->waiting;
    const std::uint32_t ours = state.running + 1;
    const bool others = end.load->waiting > 0 && reported > ours;
    state.foreign = others ? reported - ours : 0;
    state.foreign_until = now + kForeignLoadTime;
    if (others) {
      next_recheck_ = std::min(next_recheck_, state.foreign_until);
    }
  }
  if (state.standing.IsSuspended(now)) {
    for (const waiting_request& each : state.queue.TakeAll()) {
      Refuse(each.ask.id, permit_refusal::kOwnerUnavailable, kOwnerRetry);
    }
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
  const permit_id first{report.holder, 0};
  for (auto each = running_.lower_bound(first);
       each != running_.end() && each->first.holder == report.holder; ++each) {
    if (listed.contains(each->first)) {
      each->second.expires =
          std::max(each->second.expires, now + kUnreportedGrant + kExpirySlack);
    } else if (each->second.started + kUnreportedGrant < now) {
      unused.push_back(each->first);
    }
  }
  for (const permit_id& id : unused) {
    Free(id);
  }
}

std::vector<permit_reply> slot_scheduler::TakeReplies(instant now) {
  if (now >= next_expiry_check_) {
    ExpireRunning(now);
  }
  if (now >= next_hopeless_) {
    RefuseHopeless(now);
  }
  if (now >= next_recheck_) {
    next_recheck_ = instant::max();
    MarkAll();
  }
  for (const endpoint_id& id : std::exchange(changed_, {})) {
    const auto state = endpoints_.find(id);
    if (state != endpoints_.end()) {
      AssignOwned(state->second, now);
    }
  }
  if (std::exchange(shared_changed_, false)) {
    AssignShared(now);
  }
  return std::exchange(replies_, {});
}

std::optional<instant> slot_scheduler::NextWakeup() const {
  const instant next = std::min(next_hopeless_, next_recheck_);
  return next == instant::max() ? std::nullopt : std::optional(next);
}

bool slot_scheduler::IsInService(const endpoint_state& state, instant now) {
  return !state.about.draining && !state.standing.IsSuspended(now);
}

bool slot_scheduler::IsFree(const endpoint_state& state, instant now) {
  if (!IsInService(state, now)) {
    return false;
  }
  const std::uint32_t limit =
      state.standing.IsOnProbation() ? 1 : state.about.slots;
  const std::uint32_t foreign = now < state.foreign_until ? state.foreign : 0;
  return state.running + foreign < limit;
}

double slot_scheduler::Slowness(const endpoint_state& state, instant now) {
  const double measured =
      std::max(kLeastSlowness, state.standing.SlownessAt(now));
  return now < state.warm_from ? measured * kColdSlowness : measured;
}

permit_granted slot_scheduler::MakeGrant(const permit_id& id,
                                         const endpoint_state& state,
                                         duration work,
                                         instant now) const {
  const std::chrono::duration<double, std::milli> expected =
      work * Slowness(state, now);
  permit_granted granted;
  granted.id = id;
  granted.service = service_;
  granted.endpoint = state.about.instance;
  granted.where = state.about.where;
  granted.expected_ms = static_cast<std::uint32_t>(expected.count());
  granted.lapsing = state.about.lapsing;
  return granted;
}

bool slot_scheduler::IsPaused(const waiting_request& request,
                              instant now) const {
  if (FindUnheld(request.ask) != nullptr) {
    return true;
  }
  const auto paused = paused_.find(request.fence);
  return paused != paused_.end() && now < paused->second.until;
}

duration slot_scheduler::WaitAtOwner(const endpoint_state& owner,
                                     std::uint32_t rank,
                                     instant now) {
  const duration before = owner.queue.WorkBefore(rank);
  if (IsFree(owner, now) && before == duration(0)) {
    return duration(0);
  }
  const double slots = owner.about.slots / Slowness(owner, now);
  return duration(
      static_cast<std::int64_t>(static_cast<double>(before.count()) / slots));
}

double slot_scheduler::SharedCapacity(instant now) const {
  double slots = 0;
  for (const auto& [id, state] : endpoints_) {
    if (IsInService(state, now)) {
      slots += state.about.slots / Slowness(state, now);
    }
  }
  return slots;
}

duration slot_scheduler::WaitForAny(std::uint32_t rank, instant now) const {
  const duration before = shared_.WorkBefore(rank);
  if (before == duration(0)) {
    return duration(0);
  }
  const double slots = SharedCapacity(now);
  return slots <= 0 ? duration(0)
                    : duration(static_cast<std::int64_t>(
                          static_cast<double>(before.count()) / slots));
}

double slot_scheduler::Cost(const endpoint_state& state,
                            const permit_ask& ask,
                            instant now) {
  const bool elsewhere = state.about.domain != ask.domain;
  return Slowness(state, now) / state.standing.SuccessAt(now) *
         (elsewhere ? kOtherDomainCost : 1);
}

void slot_scheduler::AssignOwned(endpoint_state& owner, instant now) {
  while (!owner.queue.empty() && IsFree(owner, now)) {
    const auto next =
        owner.queue.TakeNext(now, [&](const waiting_request& request) {
          return !IsPaused(request, now);
        });
    if (!next) {
      return;
    }
    Grant(*next, owner, now);
  }
}

void slot_scheduler::AssignShared(instant now) {
  std::uint32_t free = FreeSlots(now);
  while (!shared_.empty() && free > 0) {
    // The choices for requests that were considered; one of them is taken.
    std::map<permit_id, endpoint_state*> chosen;
    const auto next = shared_.TakeNext(now, [&](const waiting_request& each) {
      if (free <= demand_.Reserve(each.ask.rank, running_by_rank_, now)) {
        return false;
      }
      endpoint_state* where = ChooseAny(each, now);
      if (where != nullptr) {
        chosen[each.ask.id] = where;
      }
      return where != nullptr;
    });
    if (!next) {
      return;
    }
    Grant(*next, *chosen.at(next->ask.id), now);
    --free;
  }
}

slot_scheduler::endpoint_state* slot_scheduler::ChooseAny(
    const waiting_request& request,
    instant now) {
  endpoint_state* best = nullptr;
  double best_cost = 0;
  double least_cost = std::numeric_limits<double>::max();
  const auto& avoid = request.ask.avoid;
  for (auto& [id, state] : endpoints_) {
    if (!IsInService(state, now) ||
        std::find(avoid.begin(), avoid.end(), id) != avoid.end()) {
      continue;
    }
    const double cost = Cost(state, request.ask, now);
    least_cost = std::min(least_cost, cost);
    if (IsFree(state, now) && (best == nullptr || cost < best_cost)) {
      best = &state;
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  const double extra =
      (best_cost - least_cost) * static_cast<double>(request.work.count());
  const bool better_wait =
      best_cost > kMuchSlower * least_cost &&
      extra > static_cast<double>(WaitForAny(request.ask.rank, now).count());
  return better_wait ? nullptr : best;
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

void slot_scheduler::Grant(const waiting_request& request,
                           endpoint_state& where,
                           instant now) {
  running_request started;
  started.endpoint = where.about.instance.endpoint;
  started.route = request.ask.route;
  started.rank = request.ask.rank;
  started.fence = request.fence;
  started.started = now;
  started.expires = request.deadline + kExpirySlack;
  started.work = request.work;
  running_.insert_or_assign(request.ask.id, std::move(started));
  ++where.running;
  ++running_by_rank_[request.ask.rank];
  // A request that starts at once needs no word that it waits.
  std::erase_if(replies_, [&](const permit_reply& reply) {
    const auto* queued = std::get_if<permit_queued>(&reply);
    return queued != nullptr && queued->id == request.ask.id;
  });
  replies_.emplace_back(MakeGrant(request.ask.id, where, request.work, now));
}

void slot_scheduler::RefuseHopeless(instant now) {
  next_hopeless_ = instant::max();
  const auto sweep = [&](wait_queue& queue) {
    for (const waiting_request& each : queue.TakeHopeless(now)) {
      RefuseOverloaded(each.ask.id, WaitOf(each.ask, now));
    }
    if (const auto next = queue.NextHopeless()) {
      next_hopeless_ = std::min(next_hopeless_, *next);
    }
  };
  sweep(shared_);
  for (auto& [id, state] : endpoints_) {
    sweep(state.queue);
  }
}

void slot_scheduler::ExpireRunning(instant now) {
  next_expiry_check_ = now + kExpiryCheck;
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
  changed_.insert(found->second.endpoint);
  shared_changed_ = true;
  --running_by_rank_[found->second.rank];
  running_.erase(found);
}

std::size_t slot_scheduler::waiting_count() const {
  std::size_t count = shared_.size();
  for (const auto& [id, state] : endpoints_) {
    count += state.queue.size();
  }
  return count;
}

std::vector<shard_load> slot_scheduler::KeyLoads(instant now) const {
  return key_loads_.Loads(now);
}

std::map<endpoint_id, double> slot_scheduler::Capacities(instant now) const {
  std::map<endpoint_id, double> capacities;
  for (const auto& [id, state] : endpoints_) {
    // Requests at a slow endpoint are late more often, even if it is idle, so
    // it gets less than its speed would allow.
    capacities[id] =
        state.about.slots / std::pow(Slowness(state, now), kSlownessWeight);
  }
  return capacities;
}

}  // namespace bluebell
