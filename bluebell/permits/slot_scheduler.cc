#include "bluebell/permits/slot_scheduler.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>
#include <variant>

#include "bluebell/core/overloaded.h"
#include "bluebell/core/time_scale.h"
#include "bluebell/keyspace/rebalance_policy.h"
#include "bluebell/permits/cross_domain_pass.h"
#include "bluebell/permits/endpoint_cost.h"
#include "bluebell/permits/permit_use.h"

namespace bluebell {

namespace {

// Exponent of slowness in an endpoint's capacity for keys. With 1, all
// endpoints would be equally busy; a higher value gives slow endpoints less
// work.
constexpr double kSlownessExponent = 1.6;
// Pause of an assignment after a response that shows that its owner doesn't
// serve the keys yet. Each further such response doubles the pause, because the
// owner may have lost the keys.
constexpr milliseconds kMinMisdirectedPause{40};
constexpr milliseconds kMaxMisdirectedPause{1'000};
// Requests wait if their keys are expected to be served again within this time,
// for example because they are moving to another owner.
constexpr milliseconds kMaxMoveWait{600};
constexpr milliseconds kOwnerRetryAfter{900};
constexpr milliseconds kNoEndpointRetryAfter{500};
constexpr milliseconds kMinRetryAfter{60};
constexpr milliseconds kMaxRetryAfter{3'000};
// A permit that its holder doesn't report after this time is freed: the grant
// or the release was lost.
constexpr milliseconds kUnreportedPermitTimeout{400};
// Time after its deadline in which a holder may still release a permit.
constexpr milliseconds kExpiryMargin{700};
constexpr milliseconds kExpiryCheckInterval{100};
constexpr milliseconds kEndpointRefreshInterval{20};
// The deadlines that are computed from the repetitions of a message differ by
// the time that they travel, on a busy host by tens of milliseconds.
constexpr milliseconds kRepetitionDeadlineTolerance{100};
// Names the queue that all endpoints serve.
const endpoint_id kSharedQueueName;
// A request that is abandoned after this multiple of its expected time counts
// as one without a response: over a cut link nothing else ends it.
constexpr int kLostRequestFactor = 3;
// A request that waits although an endpoint has a free slot is considered again
// after this time, because its deadline comes nearer.
constexpr milliseconds kHeldBackRecheck{20};
// A forecast for each request that stays in its domain, after each release,
// costs time in proportion to the length of the line. It is made for the whole
// line once in this interval, and otherwise for the first ones.
constexpr milliseconds kFullPassInterval{5};
constexpr std::size_t kMaxHeldBack = 32;

// The time in which `capacity`, in slots of an average endpoint, does the work.
duration WaitFor(duration work, double capacity) {
  return capacity <= 0 ? duration(0)
                       : duration(static_cast<std::int64_t>(
                             static_cast<double>(work.count()) / capacity));
}

}  // namespace

slot_scheduler::slot_scheduler(service_name service)
    : service_(std::move(service)) {}

void slot_scheduler::SetAdmission(const admission_policy& policy) {
  std::visit(overloaded{[&](const simple_admission&) { admission_.reset(); },
                        [&](const scheduled_admission&) {
                          if (!admission_) {
                            admission_.emplace();
                          }
                        }},
             policy);
}

admission_counts slot_scheduler::promise_counts() const {
  return admission_ ? admission_->counts() : admission_counts();
}

void slot_scheduler::SetEndpoints(const std::vector<fleet_endpoint>& endpoints,
                                  const key_table* table,
                                  instant now) {
  keyed_ = table != nullptr;
  table_ = keyed_ ? *table : key_table();
  std::vector<waiting_request> requests = TakeOwnerQueues();
  std::map<endpoint_id, scheduled_endpoint> next;
  for (const fleet_endpoint& each : endpoints) {
    const endpoint_id& id = each.instance.endpoint;
    auto known = endpoints_.extract(id);
    if (known && known.mapped().entry().instance == each.instance) {
      known.mapped().SetEntry(each);
      next.insert(std::move(known));
    } else {
      next.emplace(id, scheduled_endpoint(each, now));
    }
  }
  // Keeps endpoints that were removed while requests still run there.
  for (auto& [id, endpoint_state] : endpoints_) {
    if (endpoint_state.running() > 0 && !next.contains(id)) {
      endpoint_state.SetDraining();
      next.emplace(id, std::move(endpoint_state));
    }
  }
  endpoints_ = std::move(next);
  key_loads_.SetPolicy(RebalancePolicyFor(endpoints_.size()), now);
  ForgetRemovedQueues();
  UpdateSharedCapacity(now);
  std::erase_if(paused_assignments_, [&](const auto& entry) {
    return entry.second.until + kMaxMisdirectedPause <= now;
  });
  for (waiting_request& each : requests) {
    EnqueueOrRefuse(std::move(each), now);
  }
  MarkAllQueuesChanged();
}

void slot_scheduler::SetDomainPolicy(const domain_policy& policy) {
  domain_policy_ = policy;
  if (const auto* forecast = std::get_if<forecast_domain_cost>(&policy)) {
    cross_domain_.SetPrice(forecast->price_ms_per_mb);
  }
  shared_queue_changed_ = true;
}

std::map<domain_name, domain_supply> slot_scheduler::DomainSupply(
    instant now) const {
  std::map<domain_name, domain_supply> supply;
  for (const auto& [id, endpoint_state] : endpoints_) {
    if (endpoint_state.IsInService(now)) {
      supply[endpoint_state.entry().domain].capacity +=
          endpoint_state.current_capacity(now);
    }
  }
  for (const auto& [id, running] : running_) {
    const auto endpoint_state = endpoints_.find(running.endpoint);
    if (endpoint_state == endpoints_.end() ||
        !endpoint_state->second.IsInService(now)) {
      continue;
    }
    // A request that takes longer than expected is expected to take as long
    // again, so that a domain whose endpoints stand still has a long wait.
    const std::chrono::duration<double> expected =
        running.work * endpoint_state->second.slowness();
    const std::chrono::duration<double> elapsed = now - running.started;
    const double time = std::max(expected, elapsed).count();
    supply[endpoint_state->second.entry().domain].ends_per_s +=
        time > 0 ? 1 / time : 0;
  }
  for (auto& [domain, work] : shared_queue_.WorkByDomain()) {
    supply[domain].waiting_work = std::move(work);
  }
  return supply;
}

void slot_scheduler::ForgetRemovedQueues() {
  const auto exists = [&](const endpoint_id& queue) {
    return queue == kSharedQueueName || endpoints_.contains(queue);
  };
  route_shares_.ForgetQueues(exists);
  if (admission_) {
    admission_->ForgetQueues(exists);
  }
}

std::vector<waiting_request> slot_scheduler::TakeOwnerQueues() {
  std::vector<waiting_request> requests;
  for (auto& [id, endpoint_state] : endpoints_) {
    std::vector<waiting_request> queued = endpoint_state.queue().TakeAll();
    std::move(queued.begin(), queued.end(), std::back_inserter(requests));
  }
  return requests;
}

void slot_scheduler::SetUnservedRanges(std::vector<unserved_range> unserved,
                                       instant now) {
  unserved_ranges_ = std::move(unserved);
  std::sort(unserved_ranges_.begin(), unserved_ranges_.end(),
            [](const unserved_range& a, const unserved_range& b) {
              return a.range < b.range;
            });
  for (waiting_request& each : TakeOwnerQueues()) {
    EnqueueOrRefuse(std::move(each), now);
  }
  MarkAllQueuesChanged();
}

void slot_scheduler::SetColdStart(std::optional<cold_start_bound> bound,
                                  bool is_first,
                                  instant now) {
  cold_start_.SetBound(bound);
  cold_start_.SetFirst(is_first, now);
}

std::vector<cold_start_hold> slot_scheduler::TakeColdStartHolds() {
  return cold_start_.TakeHolds();
}

const unserved_range* slot_scheduler::FindUnservedRange(
    const permit_request& message) const {
  if (!message.key) {
    return nullptr;
  }
  // The ranges don't overlap.
  const auto after = std::upper_bound(
      unserved_ranges_.begin(), unserved_ranges_.end(), *message.key,
      [](shard_key key, const auto& each) { return key < each.range.first; });
  if (after == unserved_ranges_.begin()) {
    return nullptr;
  }
  const unserved_range& candidate = *std::prev(after);
  return candidate.range.Contains(*message.key) ? &candidate : nullptr;
}

void slot_scheduler::MarkAllQueuesChanged() {
  for (const auto& [id, endpoint_state] : endpoints_) {
    if (!endpoint_state.queue().empty()) {
      changed_owner_queues_.insert(id);
    }
  }
  shared_queue_changed_ = true;
}

slot_scheduler::key_owner slot_scheduler::FindOwner(
    const permit_request& message,
    instant now) {
  const key_assignment* assignment = table_.Find(*message.key);
  if (assignment == nullptr) {
    return {};
  }
  const auto owner = endpoints_.find(assignment->owner.endpoint);
  if (owner == endpoints_.end() ||
      owner->second.entry().instance != assignment->owner ||
      owner->second.IsSuspended(now) ||
      std::find(message.excluded_endpoints.begin(),
                message.excluded_endpoints.end(),
                owner->first) != message.excluded_endpoints.end()) {
    return {};
  }
  return {&owner->second, assignment->fence};
}

void slot_scheduler::RequestPermit(const permit_request& message, instant now) {
  if (const auto granted = running_.find(message.id);
      granted != running_.end()) {
    const auto endpoint_state = endpoints_.find(granted->second.endpoint);
    if (endpoint_state != endpoints_.end()) {
      replies_.emplace_back(
          MakePermit(message.id, endpoint_state->second, granted->second));
    }
    return;
  }
  RefreshEndpoints(now);
  if (const queue_state waiting_in = FindQueue(message.id, now);
      waiting_in.queue) {
    if (ShortenDeadline(waiting_in, message, now)) {
      replies_.emplace_back(permit_queued{message.id});
    }
    return;
  }
  waiting_request request;
  request.message = message;
  request.received = now;
  request.objective = now + milliseconds(message.objective_left_ms);
  request.deadline = now + milliseconds(message.time_left_ms);
  request.work = work_estimate_.Expected(
      message.route, milliseconds(message.objective_left_ms));
  demand_.Add(message.rank, request.work, now);
  cold_start_.AddWork(request.work);
  if (admission_) {
    route_shares_.AddDemand(message.route, request.work, now);
  }
  const permit_id id = message.id;
  const duration work = request.work;
  const bool is_queued = EnqueueOrRefuse(std::move(request), now);
  if (keyed_ && message.key) {
    key_loads_.Add(*message.key, CountedWork(work, is_queued), now);
  }
  if (is_queued) {
    // Tells the requester that the dispatcher is reachable. Removed again if
    // the permit is granted at once.
    replies_.emplace_back(permit_queued{id});
  }
}

duration slot_scheduler::CountedWork(duration work, bool is_queued) const {
  // Refused requests count as well. Otherwise the load of a key that overloads
  // its owner would be underestimated.
  const auto refused_work =
      std::visit(overloaded{[&](const gradual_rebalance&) { return work; },
                            [&](const complete_rebalance&) {
                              // Its caller repeats it once.
                              return work / 2;
                            }},
                 RebalancePolicyFor(endpoints_.size()));
  return is_queued ? work : refused_work;
}

slot_scheduler::queue_state slot_scheduler::FindQueue(const permit_id& id,
                                                      instant now) {
  if (shared_queue_.Contains(id)) {
    return {&shared_queue_, shared_capacity_};
  }
  for (auto& [name, endpoint_state] : endpoints_) {
    if (endpoint_state.queue().Contains(id)) {
      return {&endpoint_state.queue(), endpoint_state.current_capacity(now)};
    }
  }
  return {};
}

bool slot_scheduler::ShortenDeadline(const queue_state& waiting_in,
                                     const permit_request& repetition,
                                     instant now) {
  const permit_id& id = repetition.id;
  wait_queue& queue = *waiting_in.queue;
  const waiting_request& waiting = *queue.Find(id);
  const instant deadline = now + milliseconds(repetition.time_left_ms);
  if (deadline + kRepetitionDeadlineTolerance >= waiting.deadline) {
    return true;
  }
  const duration wait = WaitFor(queue.WorkBefore(id), waiting_in.capacity);
  if (now + wait + waiting.work > deadline) {
    queue.Remove(id);
    RefuseOverloaded(id, wait);
    return false;
  }
  queue.SetDeadline(id, deadline);
  next_infeasible_ = std::min(next_infeasible_, waiting.InfeasibleAt());
  return true;
}

bool slot_scheduler::EnqueueOrRefuse(waiting_request request, instant now) {
  const permit_id id = request.message.id;
  if (endpoints_.empty()) {
    Refuse(id, permit_refusal::kNoEndpoint, kNoEndpointRetryAfter);
    return false;
  }
  duration wait(0);
  wait_queue* queue = &shared_queue_;
  const scheduled_endpoint* owner_endpoint = nullptr;
  if (keyed_ && request.message.key) {
    const key_owner owner = FindOwner(request.message, now);
    if (owner.endpoint == nullptr) {
      Refuse(id, permit_refusal::kOwnerUnavailable, kOwnerRetryAfter);
      return false;
    }
    const unserved_range* unserved = FindUnservedRange(request.message);
    if (unserved != nullptr && unserved->until > now + kMaxMoveWait) {
      const duration remaining = std::min<duration>(
          unserved->until == instant::max() ? kMaxRetryAfter
                                            : unserved->until - now,
          kMaxRetryAfter);
      Refuse(id, permit_refusal::kOwnerUnavailable,
             std::chrono::duration_cast<milliseconds>(remaining));
      return false;
    }
    const auto paused = paused_assignments_.find(owner.fence);
    if (paused != paused_assignments_.end() &&
        paused->second.until > now + kMaxMoveWait) {
      Refuse(
          id, permit_refusal::kOwnerUnavailable,
          std::chrono::duration_cast<milliseconds>(paused->second.until - now));
      return false;
    }
    request.fence = owner.fence;
    wait = ExpectedOwnerWait(*owner.endpoint, request.message.rank, now);
    queue = &owner.endpoint->queue();
    owner_endpoint = owner.endpoint;
    changed_owner_queues_.insert(owner.endpoint->entry().instance.endpoint);
  } else {
    if (!HasCandidate(request.message)) {
      Refuse(id, permit_refusal::kNoEndpoint, kNoEndpointRetryAfter);
      return false;
    }
    wait = ExpectedSharedWait(request.message.rank, now);
    shared_queue_changed_ = true;
  }
  if (admission_ && !request.is_admitted) {
    const admission_verdict verdict =
        DecideAdmission(request, owner_endpoint, now);
    if (const auto* refused = std::get_if<refused_until>(&verdict)) {
      Refuse(id, permit_refusal::kOverloaded,
             std::chrono::ceil<milliseconds>(refused->retry_after));
      std::get<permit_refused>(replies_.back()).promised = refused->promised;
      return false;
    }
    const auto& accepted = std::get<admitted>(verdict);
    request.objective = accepted.objective;
    request.on_time_work_factor = accepted.on_time_work_factor;
  } else if (now + wait + request.work > request.deadline) {
    if (owner_endpoint != nullptr &&
        cold_start_.IsLimited(owner_endpoint->entry(), now)) {
      RefuseForLimit(id, *owner_endpoint, wait, now);
    } else {
      RefuseOverloaded(id, wait);
    }
    return false;
  }
  request.is_admitted = true;
  next_infeasible_ = std::min(next_infeasible_, request.InfeasibleAt());
  queue->Push(std::move(request));
  return true;
}

admission_verdict slot_scheduler::DecideAdmission(
    const waiting_request& request,
    const scheduled_endpoint* owner,
    instant now) {
  const permit_request& message = request.message;
  admission_control::arrival arrival;
  arrival.identity = {message.route, message.key, request.deadline};
  arrival.rank = message.rank;
  arrival.objective = request.objective;
  arrival.work = request.work;
  arrival.response_time = request.work;
  const wait_queue& queue = owner == nullptr ? shared_queue_ : owner->queue();
  admission_control::forecast expected;
  expected.capacity =
      owner == nullptr ? shared_capacity_ : owner->current_capacity(now);
  expected.wait =
      WaitFor(queue.OnTimeWorkBefore(message.rank), expected.capacity);
  expected.late_wait =
      WaitFor(queue.WorkBefore(message.rank), expected.capacity);
  if (owner == nullptr) {
    const duration limit_wait =
        shared_limited_until_ ? *shared_limited_until_ - now : duration(0);
    expected.wait = std::max(limit_wait, expected.wait);
    expected.late_wait = std::max(limit_wait, expected.late_wait);
    return admission_->Decide(arrival, expected, now);
  }
  arrival.queue = owner->entry().instance.endpoint;
  arrival.response_time = Scale(request.work, owner->current_slowness(now));
  // Requests for keys that aren't served yet wait at least until they are.
  duration blocked = cold_start_.WaitBehind(
      owner->entry(), queue.WorkBefore(message.rank), now);
  if (const unserved_range* unserved = FindUnservedRange(message)) {
    blocked = std::max(blocked, unserved->until - now);
  }
  if (const auto paused = paused_assignments_.find(request.fence);
      paused != paused_assignments_.end()) {
    blocked = std::max(blocked, paused->second.until - now);
  }
  expected.wait = std::max(blocked, expected.wait);
  expected.late_wait = std::max(blocked, expected.late_wait);
  return admission_->Decide(arrival, expected, now);
}

bool slot_scheduler::HasCandidate(const permit_request& message) const {
  const auto& excluded = message.excluded_endpoints;
  return excluded.empty() ||
         std::any_of(endpoints_.begin(), endpoints_.end(),
                     [&](const auto& entry) {
                       return entry.second.entry().TakesRequests() &&
                              std::find(excluded.begin(), excluded.end(),
                                        entry.first) == excluded.end();
                     });
}

void slot_scheduler::Refuse(const permit_id& id,
                            permit_refusal reason,
                            milliseconds retry) {
  replies_.emplace_back(
      permit_refused{id, reason, static_cast<std::uint32_t>(retry.count())});
}

void slot_scheduler::RefuseOverloaded(const permit_id& id, duration wait) {
  const auto retry =
      std::clamp<duration>(wait / 2, kMinRetryAfter, kMaxRetryAfter);
  Refuse(id, permit_refusal::kOverloaded,
         std::chrono::duration_cast<milliseconds>(retry));
}

void slot_scheduler::RefuseForLimit(const permit_id& id,
                                    const scheduled_endpoint& owner,
                                    duration wait,
                                    instant now) {
  if (!cold_start_.MayIssue(owner.entry(), now)) {
    cold_start_.OnHold(owner.entry(), now);
  }
  // The limit states exactly when the next permit may be issued. An earlier
  // repetition would be refused again.
  const auto retry = std::clamp<duration>(cold_start_.RetryAfter(wait),
                                          kMinRetryAfter, kMaxRetryAfter);
  Refuse(id, permit_refusal::kOverloaded,
         std::chrono::ceil<milliseconds>(retry));
}

duration slot_scheduler::ExpectedWait(const permit_request& message,
                                      instant now) {
  if (!keyed_ || !message.key) {
    return ExpectedSharedWait(message.rank, now);
  }
  const key_owner owner = FindOwner(message, now);
  return owner.endpoint == nullptr
             ? duration(0)
             : ExpectedOwnerWait(*owner.endpoint, message.rank, now);
}

void slot_scheduler::ReleasePermit(const permit_release& release, instant now) {
  const auto found = running_.find(release.id);
  if (found == running_.end()) {
    shared_queue_.Remove(release.id);
    for (auto& [id, endpoint_state] : endpoints_) {
      endpoint_state.queue().Remove(release.id);
    }
    return;
  }
  const running_request ended = found->second;
  RemoveRunning(release.id);
  RecordOutcome(release, ended, now);
}

void slot_scheduler::RecordOutcome(const permit_release& release,
                                   const running_request& ended,
                                   instant now) {
  const auto found = endpoints_.find(ended.endpoint);
  if (found == endpoints_.end()) {
    return;
  }
  scheduled_endpoint& endpoint_state = found->second;
  const bool was_in_service = endpoint_state.IsInService(now);
  RecordLink(release, ended, endpoint_state, now);
  const milliseconds response_time(release.took_ms);
  switch (release.outcome) {
    case permit_outcome::kAnswered:
      work_estimate_.Add(ended.route, response_time,
                         endpoint_state.measured_slowness(now));
      endpoint_state.OnAnswered(response_time, ended.work, now);
      paused_assignments_.erase(ended.fence);
      break;
    case permit_outcome::kFailed:
    case permit_outcome::kShed:
      endpoint_state.OnFailed(now);
      break;
    case permit_outcome::kMisdirected:
      if (ended.fence != epoch()) {
        pause& assignment_pause = paused_assignments_[ended.fence];
        assignment_pause.length =
            std::clamp<duration>(assignment_pause.length * 2,
                                 kMinMisdirectedPause, kMaxMisdirectedPause);
        assignment_pause.until = now + assignment_pause.length;
        next_recheck_ = std::min(next_recheck_, assignment_pause.until);
      } else {
        endpoint_state.OnNoResponse(release.id.holder, now);
      }
      break;
    case permit_outcome::kUnreachable:
    case permit_outcome::kNoResponse:
      endpoint_state.OnNoResponse(release.id.holder, now);
      break;
    case permit_outcome::kAbandoned:
    case permit_outcome::kUnused:
      break;
  }
  if (release.load) {
    if (const auto until = endpoint_state.OnLoadReport(*release.load, now)) {
      next_recheck_ = std::min(next_recheck_, *until);
    }
  }
  if (endpoint_state.IsInService(now) != was_in_service) {
    UpdateSharedCapacity(now);
  }
  if (endpoint_state.IsSuspended(now)) {
    for (const waiting_request& each : endpoint_state.queue().TakeAll()) {
      Refuse(each.message.id, permit_refusal::kOwnerUnavailable,
             kOwnerRetryAfter);
    }
  }
}

void slot_scheduler::RecordLink(const permit_release& release,
                                const running_request& ended,
                                const scheduled_endpoint& endpoint_state,
                                instant now) {
  if (!std::holds_alternative<forecast_domain_cost>(domain_policy_) ||
      ended.domains.from == domain_name()) {
    return;
  }
  const auto expected = std::chrono::duration_cast<duration>(
      ended.work * endpoint_state.measured_slowness(now));
  const bool is_lost = release.outcome == permit_outcome::kUnreachable ||
                       release.outcome == permit_outcome::kNoResponse ||
                       (release.outcome == permit_outcome::kAbandoned &&
                        now - ended.started > expected * kLostRequestFactor);
  if (is_lost) {
    cross_domain_.OnNoResponse(ended.domains, ended.endpoint, now);
  } else if (release.outcome == permit_outcome::kAnswered) {
    cross_domain_.OnAnswered(ended.domains, milliseconds(release.took_ms),
                             expected, now);
  }
}

void slot_scheduler::Report(const permit_report& report, instant now) {
  std::set<permit_id> listed;
  for (const open_permit& open : report.open) {
    listed.insert(open.id);
    const auto endpoint_state = endpoints_.find(open.endpoint);
    if (running_.contains(open.id) || endpoint_state == endpoints_.end()) {
      continue;
    }
    running_request adopted;
    adopted.endpoint = open.endpoint;
    adopted.route = open.route;
    adopted.rank = open.rank;
    adopted.started = now;
    adopted.expires = now + kUnreportedPermitTimeout + kExpiryMargin;
    adopted.work = work_estimate_.Expected(open.route, duration(0));
    running_.emplace(open.id, std::move(adopted));
    endpoint_state->second.OnRequestStarted();
    ++running_by_rank_[open.rank];
  }
  std::vector<permit_id> unused;
  const permit_id first{report.holder, 0};
  for (auto each = running_.lower_bound(first);
       each != running_.end() && each->first.holder == report.holder; ++each) {
    if (listed.contains(each->first)) {
      each->second.expires = std::max(
          each->second.expires, now + kUnreportedPermitTimeout + kExpiryMargin);
    } else if (each->second.started + kUnreportedPermitTimeout < now) {
      unused.push_back(each->first);
    }
  }
  for (const permit_id& id : unused) {
    RemoveRunning(id);
  }
}

std::vector<permit_reply> slot_scheduler::TakeReplies(instant now) {
  RefreshEndpoints(now);
  if (now >= next_expiry_check_) {
    ExpireRunning(now);
  }
  if (now >= next_infeasible_) {
    RefuseInfeasible(now);
  }
  if (now >= next_recheck_) {
    next_recheck_ = instant::max();
    MarkAllQueuesChanged();
  }
  for (const endpoint_id& id : std::exchange(changed_owner_queues_, {})) {
    const auto endpoint_state = endpoints_.find(id);
    if (endpoint_state != endpoints_.end()) {
      GrantFromOwnerQueue(endpoint_state->second, now);
    }
  }
  if (std::exchange(shared_queue_changed_, false)) {
    GrantFromSharedQueue(now);
  }
  return std::exchange(replies_, {});
}

std::optional<instant> slot_scheduler::NextWakeup() const {
  const instant next = std::min(next_infeasible_, next_recheck_);
  return next == instant::max() ? std::nullopt : std::optional(next);
}

void slot_scheduler::RefreshEndpoints(instant now) {
  if (now < next_refresh_) {
    return;
  }
  next_refresh_ = now + kEndpointRefreshInterval;
  for (auto& [id, endpoint_state] : endpoints_) {
    endpoint_state.Refresh(now);
  }
  UpdateSharedCapacity(now);
  if (std::holds_alternative<forecast_domain_cost>(domain_policy_)) {
    cross_domain_.SetSupply(DomainSupply(now), now);
  }
}

void slot_scheduler::UpdateSharedCapacity(instant now) {
  shared_capacity_ = 0;
  shared_limited_until_.reset();
  bool is_any_warm = false;
  for (auto& [id, endpoint_state] : endpoints_) {
    endpoint_state.SetCapacityLimit(
        cold_start_.CapacityLimit(endpoint_state.entry(), now));
    if (!endpoint_state.IsInService(now)) {
      continue;
    }
    if (!cold_start_.IsLimited(endpoint_state.entry(), now)) {
      is_any_warm = true;
    } else if (!cold_start_.IsIssuing(now)) {
      continue;
    }
    shared_capacity_ += endpoint_state.current_capacity(now);
  }
  if (is_any_warm || !cold_start_.is_on()) {
    return;
  }
  for (const auto& [id, endpoint_state] : endpoints_) {
    if (endpoint_state.IsInService(now)) {
      const instant next =
          cold_start_.NextPermit(endpoint_state.entry(), 0, now);
      shared_limited_until_ =
          std::min(next, shared_limited_until_.value_or(next));
    }
  }
}

permit_granted slot_scheduler::MakePermit(
    const permit_id& id,
    const scheduled_endpoint& endpoint_state,
    const running_request& running) const {
  const std::chrono::duration<double, std::milli> expected =
      running.work * endpoint_state.slowness();
  permit_granted granted;
  granted.id = id;
  granted.service = service_;
  granted.endpoint = endpoint_state.entry().instance;
  granted.where = endpoint_state.entry().where;
  granted.fence = running.fence;
  granted.table_fence = running.table_fence;
  granted.expected_ms = static_cast<std::uint32_t>(expected.count());
  granted.lapsing = endpoint_state.entry().lapsing;
  granted.use_within_ms = running.use_within_ms;
  granted.issued_at_ms = running.issued_at_ms;
  return granted;
}

bool slot_scheduler::IsPaused(const waiting_request& request,
                              instant now) const {
  if (FindUnservedRange(request.message) != nullptr) {
    return true;
  }
  const auto paused = paused_assignments_.find(request.fence);
  return paused != paused_assignments_.end() && now < paused->second.until;
}

duration slot_scheduler::ExpectedOwnerWait(const scheduled_endpoint& owner,
                                           std::uint32_t rank,
                                           instant now) const {
  const duration work_before = owner.queue().WorkBefore(rank);
  const duration limit_wait =
      cold_start_.WaitBehind(owner.entry(), work_before, now);
  if (owner.HasFreeSlot(now) && work_before == duration(0)) {
    return limit_wait;
  }
  return std::max(limit_wait,
                  WaitFor(work_before, owner.current_capacity(now)));
}

duration slot_scheduler::ExpectedSharedWait(std::uint32_t rank,
                                            instant now) const {
  const duration wait =
      WaitFor(shared_queue_.WorkBefore(rank), shared_capacity_);
  return shared_limited_until_ ? std::max(wait, *shared_limited_until_ - now)
                               : wait;
}

double slot_scheduler::Cost(const scheduled_endpoint& endpoint_state,
                            const domain_name& domain,
                            instant now) {
  const bool is_other_domain = endpoint_state.entry().domain != domain;
  return endpoint_state.current_slowness(now) / endpoint_state.success_ratio() *
         (is_other_domain ? kOtherDomainCostFactor : 1);
}

void slot_scheduler::GrantFromOwnerQueue(scheduled_endpoint& owner,
                                         instant now) {
  const endpoint_id queue_name = owner.entry().instance.endpoint;
  while (!owner.queue().empty() && MayStart(owner, now)) {
    const auto next = owner.queue().TakeNext(
        now, [](std::uint32_t /*rank*/) { return true; },
        [&](const waiting_request& request) { return !IsPaused(request, now); },
        DeferredRoutes(queue_name, now));
    if (!next) {
      return;
    }
    if (admission_) {
      route_shares_.AddServed(queue_name, next->message.route, next->work, now);
    }
    GrantPermit(*next, owner, now);
  }
  if (!owner.queue().empty()) {
    HoldForLimit(owner, now);
  }
}

bool slot_scheduler::MayStart(const scheduled_endpoint& endpoint_state,
                              instant now) const {
  return endpoint_state.HasFreeSlot(now) &&
         cold_start_.MayIssue(endpoint_state.entry(), now);
}

void slot_scheduler::HoldForLimit(const scheduled_endpoint& endpoint_state,
                                  instant now) {
  const fleet_endpoint& entry = endpoint_state.entry();
  if (!endpoint_state.HasFreeSlot(now) || cold_start_.MayIssue(entry, now)) {
    return;
  }
  cold_start_.OnHold(entry, now);
  next_recheck_ =
      std::min(next_recheck_, cold_start_.NextPermit(entry, 0, now));
}

void slot_scheduler::HoldSharedQueue(instant now) {
  if (!cold_start_.is_on() || shared_queue_.empty()) {
    return;
  }
  for (const auto& [id, endpoint_state] : endpoints_) {
    HoldForLimit(endpoint_state, now);
  }
}

void slot_scheduler::GrantFromSharedQueue(instant now) {
  std::uint32_t free = FreeSlots(now);
  const std::size_t max_held_back =
      now < next_full_pass_ ? kMaxHeldBack
                            : std::numeric_limits<std::size_t>::max();
  while (!shared_queue_.empty() && free > 0) {
    // All requests from one domain that exclude the same endpoints have the
    // same choice until a permit is granted.
    std::map<std::pair<domain_name, std::vector<endpoint_id>>, endpoint_choice>
        choices;
    endpoint_choice choice;
    cross_domain_pass pass(cross_domain_, cold_start_, endpoints_,
                           max_held_back, now);
    const auto choose = [&](const permit_request& message) {
      std::pair key(message.domain, message.excluded_endpoints);
      auto known = choices.find(key);
      if (known == choices.end()) {
        known = choices
                    .emplace(std::move(key),
                             ChooseEndpoint(message.domain,
                                            message.excluded_endpoints, now))
                    .first;
      }
      return known->second;
    };
    const auto next = shared_queue_.TakeNext(
        now,
        [&](std::uint32_t rank) {
          return free > demand_.ReservedSlots(rank, running_by_rank_, now);
        },
        [&](const waiting_request& each) {
          return std::visit(overloaded{[&](const fixed_domain_cost&) {
                                         choice = choose(each.message);
                                         return choice.best != nullptr &&
                                                !ShouldWait(each, choice, now);
                                       },
                                       [&](const forecast_domain_cost&) {
                                         choice.best = pass.Choose(each);
                                         return choice.best != nullptr;
                                       }},
                            domain_policy_);
        },
        DeferredRoutes(kSharedQueueName, now));
    if (pass.held_back() > kMaxHeldBack) {
      next_full_pass_ = now + kFullPassInterval;
    }
    if (pass.held_back() > 0) {
      next_recheck_ = std::min<instant>(next_recheck_, now + kHeldBackRecheck);
    }
    if (!next) {
      break;
    }
    if (admission_) {
      route_shares_.AddServed(kSharedQueueName, next->message.route, next->work,
                              now);
    }
    // `choice` belongs to this request, because it was the last one considered.
    GrantPermit(*next, *choice.best, now);
    --free;
  }
  HoldSharedQueue(now);
}

std::vector<std::string> slot_scheduler::DeferredRoutes(
    const endpoint_id& queue_name,
    instant now) const {
  return admission_ ? route_shares_.RoutesOverShare(queue_name, now)
                    : std::vector<std::string>();
}

slot_scheduler::endpoint_choice slot_scheduler::ChooseEndpoint(
    const domain_name& domain,
    const std::vector<endpoint_id>& excluded_endpoints,
    instant now) {
  endpoint_choice choice;
  choice.least_cost = std::numeric_limits<double>::max();
  for (auto& [id, endpoint_state] : endpoints_) {
    if (!endpoint_state.IsInService(now) ||
        std::find(excluded_endpoints.begin(), excluded_endpoints.end(), id) !=
            excluded_endpoints.end()) {
      continue;
    }
    const bool is_limited = cold_start_.IsLimited(endpoint_state.entry(), now);
    if (is_limited && cold_start_.Allowed(endpoint_state.entry(), now) == 0) {
      continue;
    }
    const double cost = Cost(endpoint_state, domain, now);
    choice.least_cost = std::min(choice.least_cost, cost);
    // Warm endpoints are preferred, so that the permits for cold ones are left
    // for the requests that find no other slot.
    if (endpoint_state.HasFreeSlot(now) &&
        (choice.best == nullptr ||
         std::pair(is_limited, cost) <
             std::pair(choice.is_limited, choice.cost))) {
      choice.best = &endpoint_state;
      choice.cost = cost;
      choice.is_limited = is_limited;
    }
  }
  return choice;
}

bool slot_scheduler::ShouldWait(const waiting_request& request,
                                const endpoint_choice& choice,
                                instant now) const {
  if (choice.cost <= kMaxCostRatio * choice.least_cost) {
    return false;
  }
  const double extra_time = (choice.cost - choice.least_cost) *
                            static_cast<double>(request.work.count());
  return extra_time >
         static_cast<double>(
             ExpectedSharedWait(request.message.rank, now).count());
}

std::uint32_t slot_scheduler::FreeSlots(instant now) const {
  std::uint32_t free = 0;
  for (const auto& [id, endpoint_state] : endpoints_) {
    const std::uint32_t slots = endpoint_state.FreeSlots(now);
    free += cold_start_.IsLimited(endpoint_state.entry(), now)
                ? static_cast<std::uint32_t>(std::min<std::size_t>(
                      slots, cold_start_.Allowed(endpoint_state.entry(), now)))
                : slots;
  }
  return free;
}

void slot_scheduler::GrantPermit(const waiting_request& request,
                                 scheduled_endpoint& target,
                                 instant now) {
  running_request running;
  running.endpoint = target.entry().instance.endpoint;
  running.route = request.message.route;
  running.rank = request.message.rank;
  running.domains = {request.message.domain, target.entry().domain};
  running.fence = request.fence;
  running.table_fence = table_.highest_fence();
  running.started = now;
  running.expires = request.deadline + kExpiryMargin;
  running.work = request.work;
  const fleet_endpoint& entry = target.entry();
  if (cold_start_.IsLimited(entry, now)) {
    running.use_within_ms =
        static_cast<std::uint32_t>(cold_start_limit::kUseWithin.count());
    running.issued_at_ms = IssuedAtMs(request.message, now - request.received);
  }
  cold_start_.OnPermit(entry.instance.endpoint, now);
  target.OnRequestStarted();
  cross_domain_.OnStarted(running.domains);
  ++running_by_rank_[request.message.rank];
  // A permit that is granted at once needs no preceding permit_queued.
  std::erase_if(replies_, [&](const permit_reply& reply) {
    const auto* queued = std::get_if<permit_queued>(&reply);
    return queued != nullptr && queued->id == request.message.id;
  });
  replies_.emplace_back(MakePermit(request.message.id, target, running));
  running_.insert_or_assign(request.message.id, std::move(running));
}

void slot_scheduler::RefuseInfeasible(instant now) {
  next_infeasible_ = instant::max();
  const auto refuse_from = [&](wait_queue& queue,
                               const scheduled_endpoint* owner) {
    for (const waiting_request& each : queue.TakeInfeasible(now)) {
      const duration wait = ExpectedWait(each.message, now);
      if (owner != nullptr && cold_start_.IsLimited(owner->entry(), now)) {
        RefuseForLimit(each.message.id, *owner, wait, now);
      } else {
        RefuseOverloaded(each.message.id, wait);
      }
    }
    if (const auto next = queue.NextInfeasible()) {
      next_infeasible_ = std::min(next_infeasible_, *next);
    }
  };
  refuse_from(shared_queue_, nullptr);
  for (auto& [id, endpoint_state] : endpoints_) {
    refuse_from(endpoint_state.queue(), &endpoint_state);
  }
}

void slot_scheduler::ExpireRunning(instant now) {
  next_expiry_check_ = now + kExpiryCheckInterval;
  std::vector<permit_id> expired;
  for (const auto& [id, running] : running_) {
    if (running.expires <= now) {
      expired.push_back(id);
    }
  }
  for (const permit_id& id : expired) {
    RemoveRunning(id);
  }
}

void slot_scheduler::RemoveRunning(const permit_id& id) {
  const auto found = running_.find(id);
  const auto endpoint_state = endpoints_.find(found->second.endpoint);
  if (endpoint_state != endpoints_.end()) {
    endpoint_state->second.OnRequestEnded();
  }
  changed_owner_queues_.insert(found->second.endpoint);
  shared_queue_changed_ = true;
  if (found->second.domains.from != domain_name()) {
    cross_domain_.OnEnded(found->second.domains);
  }
  --running_by_rank_[found->second.rank];
  running_.erase(found);
}

std::size_t slot_scheduler::waiting_count() const {
  std::size_t count = shared_queue_.size();
  for (const auto& [id, endpoint_state] : endpoints_) {
    count += endpoint_state.queue().size();
  }
  return count;
}

std::vector<shard_load> slot_scheduler::KeyLoads(instant now) const {
  return key_loads_.Loads(now);
}

std::map<endpoint_id, double> slot_scheduler::Capacities() const {
  std::map<endpoint_id, double> capacities;
  const rebalance_policy policy = RebalancePolicyFor(endpoints_.size());
  for (const auto& entry : endpoints_) {
    const scheduled_endpoint& endpoint_state = entry.second;
    const double slowness = std::visit(
        overloaded{
            [&](const gradual_rebalance&) { return endpoint_state.slowness(); },
            [&](const complete_rebalance&) {
              // An endpoint that is slow for a moment keeps its keys.
              return endpoint_state.assigned_slowness();
            }},
        policy);
    // Requests at a slow endpoint are late more often, even if it is idle, so
    // it gets less work than its slowness alone would allow.
    capacities[entry.first] = endpoint_state.LimitedCapacity(
        endpoint_state.entry().slots / std::pow(slowness, kSlownessExponent));
  }
  return capacities;
}

}  // namespace bluebell
