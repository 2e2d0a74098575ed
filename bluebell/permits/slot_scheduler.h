// Assigns the slots of one service's endpoints to waiting requests by issuing
// permits. Used by the dispatcher of the service, on its traffic thread. Not
// thread-safe.
//
// More urgent ranks go first. Within a rank, requests that can still be
// answered within their objective go first, in order of arrival. No endpoint
// gets more requests than it has slots. A request that can't be answered before
// its deadline is refused at once.
//
// A request with a key waits for the owner of the key. Any other request waits
// for the endpoint that is expected to answer it soonest.
//
//   slot_scheduler scheduler(service_name("booker"));
//   scheduler.SetEndpoints(endpoints, nullptr, now);
//   scheduler.RequestPermit(request, now);
//   for (const permit_reply& reply : scheduler.TakeReplies(now)) { ... }

#ifndef BLUEBELL_PERMITS_SLOT_SCHEDULER_H_
#define BLUEBELL_PERMITS_SLOT_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/keyspace/key_table.h"
#include "bluebell/keyspace/shard_load.h"
#include "bluebell/keyspace/unserved_range.h"
#include "bluebell/permits/admission_control.h"
#include "bluebell/permits/admission_counts.h"
#include "bluebell/permits/admission_policy.h"
#include "bluebell/permits/admission_verdict.h"
#include "bluebell/permits/cold_start_bound.h"
#include "bluebell/permits/cold_start_hold.h"
#include "bluebell/permits/cold_start_limit.h"
#include "bluebell/permits/cross_domain_forecast.h"
#include "bluebell/permits/domain_pair.h"
#include "bluebell/permits/domain_policy.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/permits/rank_demand.h"
#include "bluebell/permits/route_shares.h"
#include "bluebell/permits/scheduled_endpoint.h"
#include "bluebell/permits/wait_queue.h"
#include "bluebell/permits/waiting_request.h"
#include "bluebell/permits/work_estimate.h"

namespace bluebell {

class slot_scheduler {
 public:
  explicit slot_scheduler(service_name service);

  // Sets how requests are admitted; simple_admission at first. A change of the
  // policy drops the promises made so far.
  void SetAdmission(const admission_policy& policy);

  // Sets the endpoints of the service. `table` names the owners of its keys;
  // null if the service isn't keyed. Waiting requests with a key are moved to
  // the queue of its current owner, or refused.
  void SetEndpoints(const std::vector<fleet_endpoint>& endpoints,
                    const key_table* table,
                    instant now);

  // Sets the keys that no endpoint serves at the moment. Requests for them wait
  // if an endpoint is expected to serve them soon, and are refused otherwise.
  void SetUnservedRanges(std::vector<unserved_range> unserved, instant now);

  // Sets what cold endpoints may get, nullopt if they aren't limited, and
  // whether this daemon is first in its own dispatcher order for the service.
  // Call it before SetEndpoints().
  void SetColdStart(std::optional<cold_start_bound> bound,
                    bool is_first,
                    instant now);
  // Sets how endpoints in other failure domains are compared with those in the
  // requester's. Initially fixed_domain_cost.
  void SetDomainPolicy(const domain_policy& policy);
  const domain_policy& policy() const { return domain_policy_; }

  // Requests a permit. The reply is permit_granted or permit_refused, possibly
  // after a permit_queued. Repeating the request for a permit that waits or was
  // granted repeats that reply and takes no further slot. If the repetition
  // leaves less time, the request is refused if it can't be answered by then.
  void RequestPermit(const permit_request& message, instant now);
  // Releases a permit, or withdraws a waiting request, and rates the endpoint
  // by the outcome.
  void ReleasePermit(const permit_release& release, instant now);
  // Frees the permits of the reporting daemon that it no longer uses, and
  // counts those that another dispatcher issued to it.
  void Report(const permit_report& report, instant now);

  // Returns the replies that are due. Call it after each of the functions above
  // and at NextWakeup().
  std::vector<permit_reply> TakeReplies(instant now);
  // The next time at which a reply may become due without another call; nullopt
  // if there is none.
  std::optional<instant> NextWakeup() const;

  // Returns the endpoints whose limit has held requests back since the last
  // call, at most once a second for each.
  std::vector<cold_start_hold> TakeColdStartHolds();
  // Returns the changes of the shares of other domains since the previous call.
  std::vector<domain_share_change> TakeShareChanges() {
    return cross_domain_.TakeShareChanges();
  }

  // The recent load of each key, for a keyed service. Refused requests count
  // too, with half of their work where RebalancePolicyFor() asks for complete
  // plans.
  std::vector<shard_load> KeyLoads(instant now) const;
  // How much work each endpoint should get relative to the others, in slots of
  // an average endpoint.
  std::map<endpoint_id, double> Capacities() const;

  // The promises made to refused callers; all zero with simple_admission.
  admission_counts promise_counts() const;

  const service_name& service() const { return service_; }
  std::size_t waiting_count() const;
  std::size_t running_count() const { return running_.size(); }

 private:
  struct running_request {
    endpoint_id endpoint;
    std::string route;
    std::uint32_t rank = 0;
    // Without a requester's domain if the dispatcher didn't issue the permit.
    domain_pair domains;
    epoch fence;
    // The highest fence of the key table when the permit was issued.
    epoch table_fence;
    instant started;
    // The permit is freed at this time if its holder hasn't released it.
    instant expires;
    // The expected response time at an average endpoint.
    duration work{0};
    // See permit_granted.
    std::uint32_t use_within_ms = 0;
    std::int64_t issued_at_ms = 0;
  };
  // A time during which no requests are sent for an assignment of keys, because
  // its owner answered that it doesn't serve them.
  struct pause {
    instant until;
    duration length{0};
  };
  struct endpoint_choice {
    // The endpoint with the lowest cost that has a free slot; null if none has.
    scheduled_endpoint* best = nullptr;
    // The cost of `best`.
    double cost = 0;
    // True if the requests of `best` are limited because it is cold.
    bool is_limited = false;
    // The lowest cost of all endpoints in service that may get a permit now or
    // when they have a free slot.
    double least_cost = 0;
  };
  // A queue and the capacity that serves it, in slots of an average endpoint.
  struct queue_state {
    wait_queue* queue = nullptr;
    double capacity = 0;
  };
  // The endpoint that owns a key and the fencing token of its assignment. The
  // endpoint is null if the key has no owner that may get the request.
  struct key_owner {
    scheduled_endpoint* endpoint = nullptr;
    epoch fence;
  };

  permit_granted MakePermit(const permit_id& id,
                            const scheduled_endpoint& endpoint_state,
                            const running_request& running) const;
  bool IsPaused(const waiting_request& request, instant now) const;
  // The unserved range that contains the key of the request; null if there is
  // none.
  const unserved_range* FindUnservedRange(const permit_request& message) const;
  // Drops what is kept for the queues of endpoints that are gone.
  void ForgetRemovedQueues();
  // Empties the queues of all owners and returns their requests.
  std::vector<waiting_request> TakeOwnerQueues();

  key_owner FindOwner(const permit_request& message, instant now);
  // Adds the request to the queue of its owner or to the shared queue. Returns
  // false if the request was refused instead.
  bool EnqueueOrRefuse(waiting_request request, instant now);
  // Decides about a new request for the queue of `owner`, or for the shared
  // queue if it is null.
  admission_verdict DecideAdmission(const waiting_request& request,
                                    const scheduled_endpoint* owner,
                                    instant now);
  // The work by which a request counts in the load of its key.
  duration CountedWork(duration work, bool is_queued) const;
  // The queue in which the request waits; null if it doesn't wait.
  queue_state FindQueue(const permit_id& id, instant now);
  // Moves the deadline of a waiting request forward to that of its repetition,
  // or refuses it. Returns false in the latter case.
  bool ShortenDeadline(const queue_state& waiting_in,
                       const permit_request& repetition,
                       instant now);
  // False if the request excludes every endpoint that takes new requests.
  bool HasCandidate(const permit_request& message) const;
  void Refuse(const permit_id& id, permit_refusal reason, milliseconds retry);
  void RefuseOverloaded(const permit_id& id, duration wait);
  // Refuses a request that can't wait until the limit of its cold owner allows
  // it.
  void RefuseForLimit(const permit_id& id,
                      const scheduled_endpoint& owner,
                      duration wait,
                      instant now);
  // The expected wait of a request that arrives now; zero if its key has no
  // owner.
  duration ExpectedWait(const permit_request& message, instant now);
  // The expected wait of a request of `rank` that arrives now, in the queue of
  // `owner` or in the shared queue.
  duration ExpectedOwnerWait(const scheduled_endpoint& owner,
                             std::uint32_t rank,
                             instant now) const;
  duration ExpectedSharedWait(std::uint32_t rank, instant now) const;
  // Refreshes the endpoints' slowness and success ratio, at most once in an
  // interval.
  void RefreshEndpoints(instant now);
  void UpdateSharedCapacity(instant now);

  void GrantFromOwnerQueue(scheduled_endpoint& owner, instant now);
  void GrantFromSharedQueue(instant now);
  // Routes that have taken more than their share of the queue.
  std::vector<std::string> DeferredRoutes(const endpoint_id& queue_name,
                                          instant now) const;
  // Chooses the endpoint with the lowest cost for requests from `domain`.
  endpoint_choice ChooseEndpoint(
      const domain_name& domain,
      const std::vector<endpoint_id>& excluded_endpoints,
      instant now);
  // The capacity and the waiting work of each domain.
  std::map<domain_name, domain_supply> DomainSupply(instant now) const;
  // True if waiting for a faster endpoint is expected to give an earlier
  // response than the chosen one.
  bool ShouldWait(const waiting_request& request,
                  const endpoint_choice& choice,
                  instant now) const;
  // The relative time that a request from `domain` takes at the endpoint,
  // increased for failures and for other failure domains.
  static double Cost(const scheduled_endpoint& endpoint_state,
                     const domain_name& domain,
                     instant now);
  // True if the endpoint has a free slot that its limit, if it is cold, allows
  // to use.
  bool MayStart(const scheduled_endpoint& endpoint_state, instant now) const;
  std::uint32_t FreeSlots(instant now) const;
  // Examines the queues again when the limit of a cold endpoint with a free
  // slot, for which requests wait, allows the next permit.
  void HoldForLimit(const scheduled_endpoint& endpoint_state, instant now);
  void HoldSharedQueue(instant now);
  void GrantPermit(const waiting_request& request,
                   scheduled_endpoint& target,
                   instant now);

  // Passes what the outcome says about the link to `cross_domain_`.
  void RecordLink(const permit_release& release,
                  const running_request& ended,
                  const scheduled_endpoint& endpoint_state,
                  instant now);
  // Rates the endpoint by the outcome of a request.
  void RecordOutcome(const permit_release& release,
                     const running_request& ended,
                     instant now);
  void RefuseInfeasible(instant now);
  void ExpireRunning(instant now);
  // Removes a running request, so that its slot is free.
  void RemoveRunning(const permit_id& id);
  // Makes the next TakeReplies() examine all queues.
  void MarkAllQueuesChanged();

  service_name service_;
  bool keyed_ = false;
  key_table table_;
  std::map<endpoint_id, scheduled_endpoint> endpoints_;
  // Requests that any endpoint may take.
  wait_queue shared_queue_;
  std::map<permit_id, running_request> running_;
  std::map<std::uint32_t, std::uint32_t> running_by_rank_;
  work_estimate work_estimate_;
  rank_demand demand_;
  // Set with scheduled_admission.
  std::optional<admission_control> admission_;
  route_shares route_shares_;
  domain_policy domain_policy_;
  // Used with forecast_domain_cost.
  cross_domain_forecast cross_domain_;
  // The next time at which a long line is examined as a whole.
  instant next_full_pass_;
  shard_load_meter key_loads_;
  cold_start_limit cold_start_;
  // By the fencing token of the assignment.
  std::map<epoch, pause> paused_assignments_;
  // In ascending order.
  std::vector<unserved_range> unserved_ranges_;
  std::vector<permit_reply> replies_;
  // Owners whose queue may have a request that can start.
  std::set<endpoint_id> changed_owner_queues_;
  // True if the shared queue may have a request that can start.
  bool shared_queue_changed_ = false;
  // The sum of the capacities of all endpoints in service, in slots of an
  // average endpoint.
  double shared_capacity_ = 0;
  // When the limits of cold endpoints allow the next permit, if no endpoint in
  // service is warm.
  std::optional<instant> shared_limited_until_;
  instant next_refresh_;
  instant next_infeasible_ = instant::max();
  instant next_expiry_check_;
  // The next time at which a pause of an assignment or the effect of an
  // endpoint's load report ends, or a cold endpoint may get a permit.
  instant next_recheck_ = instant::max();
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_SLOT_SCHEDULER_H_
