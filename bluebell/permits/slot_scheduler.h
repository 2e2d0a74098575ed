// Gives the slots of one service's endpoints to waiting requests: urgent ones
// first, in each rank those first that can still be answered within their
// objective, and no endpoint more than it has slots for. Refuses at once what
// can't be answered in time.
//
// A keyed request waits for the owner of its key, any other for the endpoint
// that will answer it soonest.
//
//   slot_scheduler scheduler(service_name("booker"));
//   scheduler.SetEndpoints(endpoints, nullptr, now);
//   scheduler.Ask(ask, now);
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
#include "bluebell/keyspace/unheld_range.h"
#include "bluebell/permits/permit_message.h"
#include "bluebell/permits/rank_demand.h"
#include "bluebell/permits/scheduled_endpoint.h"
#include "bluebell/permits/wait_queue.h"
#include "bluebell/permits/waiting_request.h"
#include "bluebell/permits/work_estimate.h"

namespace bluebell {

class slot_scheduler {
 public:
  explicit slot_scheduler(service_name service);

  // The endpoints of the service, and the owners of its keys if it is keyed.
  void SetEndpoints(const std::vector<fleet_endpoint>& endpoints,
                    const key_table* table,
                    instant now);

  // Keys that their owner doesn't serve at the moment, as far as is known:
  // requests for them wait, or are refused if that would take long.
  void SetUnheld(std::vector<unheld_range> unheld, instant now);

  // Each ask is answered once by a grant or a refusal; asking again for a
  // permit that waits or was granted repeats that reply.
  void Ask(const permit_ask& ask, instant now);
  void End(const permit_end& end, instant now);
  // Frees the permits of the report's holder that it doesn't use, and counts
  // those that another dispatcher gave it.
  void Report(const permit_report& report, instant now);

  // The replies due now. Call it after each of the above and at NextWakeup().
  std::vector<permit_reply> TakeReplies(instant now);
  // When time alone makes a reply due; nothing if it doesn't.
  std::optional<instant> NextWakeup() const;

  // The work that each key brought lately, for a keyed service.
  std::vector<shard_load> KeyLoads(instant now) const;
  // How much work each endpoint should get relative to the others, in slots of
  // average speed.
  std::map<endpoint_id, double> Capacities() const;

  const service_name& service() const { return service_; }
  std::size_t waiting_count() const;
  std::size_t running_count() const { return running_.size(); }

 private:
  struct running_request {
    endpoint_id endpoint;
    std::string route;
    std::uint32_t rank = 0;
    epoch fence;
    instant started;
    // The holder counts as gone if it hasn't settled the permit by then.
    instant expires;
    duration work{0};
  };
  // Until when an assignment isn't tried.
  struct pause {
    instant until;
    duration length{0};
  };
  struct endpoint_choice {
    // Null if no slot is free.
    scheduled_endpoint* best = nullptr;
    double cost = 0;
    // Of all endpoints in service, also those without a free slot.
    double least_cost = 0;
  };
  // The endpoint that owns an ask's key, or why it can't be served.
  struct key_owner {
    scheduled_endpoint* endpoint = nullptr;
    epoch fence;
  };

  permit_granted MakeGrant(const permit_id& id,
                           const scheduled_endpoint& state,
                           duration work) const;
  bool IsPaused(const waiting_request& request, instant now) const;
  // Null if the key is served.
  const unheld_range* FindUnheld(const permit_ask& ask) const;
  std::vector<waiting_request> TakeOwned();

  key_owner OwnerOf(const permit_ask& ask, instant now);
  // False if the request was refused.
  bool Place(waiting_request request, instant now);
  void Refuse(const permit_id& id, permit_refusal reason, milliseconds retry);
  void RefuseOverloaded(const permit_id& id, duration wait);
  // How long a request waits if it comes now; zero if its key has no owner.
  duration WaitOf(const permit_ask& ask, instant now);
  // How long a request of this rank waits if it comes now.
  static duration WaitAtOwner(const scheduled_endpoint& owner,
                              std::uint32_t rank,
                              instant now);
  duration WaitForAny(std::uint32_t rank) const;
  // Endpoints' speeds change slowly by themselves.
  void RefreshSpeeds(instant now);
  void MeasureSharedCapacity(instant now);

  void AssignOwned(scheduled_endpoint& owner, instant now);
  void AssignShared(instant now);
  // The best endpoint with a free slot for askers of one domain.
  endpoint_choice ChooseFor(const domain_name& domain,
                            const std::vector<endpoint_id>& avoid,
                            instant now);
  // True if the request does better to wait for a faster endpoint.
  bool ShouldWait(const waiting_request& request,
                  const endpoint_choice& choice) const;
  static double Cost(const scheduled_endpoint& state,
                     const domain_name& domain);
  std::uint32_t FreeSlots(instant now) const;
  void Grant(const waiting_request& request,
             scheduled_endpoint& where,
             instant now);

  void Judge(const permit_end& end, const running_request& ended, instant now);
  void RefuseHopeless(instant now);
  void ExpireRunning(instant now);
  void Free(const permit_id& id);
  void MarkAll();

  service_name service_;
  bool keyed_ = false;
  key_table table_;
  std::map<endpoint_id, scheduled_endpoint> endpoints_;
  // Requests that any endpoint may take.
  wait_queue shared_;
  std::map<permit_id, running_request> running_;
  std::map<std::uint32_t, std::uint32_t> running_by_rank_;
  work_estimate work_;
  rank_demand demand_;
  shard_load_meter key_loads_;
  // Assignments whose owner doesn't hold the keys.
  std::map<epoch, pause> paused_;
  std::vector<unheld_range> unheld_;
  std::vector<permit_reply> replies_;
  // Whose queue may have a request to start.
  std::set<endpoint_id> changed_;
  bool shared_changed_ = false;
  // The slots of average speed of all endpoints in service.
  double shared_capacity_ = 0;
  instant next_refresh_;
  instant next_hopeless_ = instant::max();
  instant next_expiry_check_;
  // When a pause, a rest or a report of foreign load ends.
  instant next_recheck_ = instant::max();
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_SLOT_SCHEDULER_H_
