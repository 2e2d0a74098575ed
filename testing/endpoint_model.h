// The rules of an endpoint, without I/O: which leases it holds, which orders it
// runs and which it refuses. Every function takes the reading of the endpoint's
// own monotonic clock in nanoseconds.
//
//   endpoint_model endpoint(traits, clock_ns);
//   lease_reply reply = endpoint.Handle(request, clock_ns);
//   order_decision decision = endpoint.Admit(order, clock_ns);
//
// An endpoint learns the slice of an order by its first hash, not the key, as
// the protocol has it. So it can't notice an order for a key that lies outside
// the claimed slice; tests find those by comparing `Holds` with what ran.

#ifndef BLUEBELL_TESTING_ENDPOINT_MODEL_H_
#define BLUEBELL_TESTING_ENDPOINT_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/key_hash.h"
#include "bluebell/ownership/lease.h"
#include "bluebell/ownership/lease_reply.h"
#include "bluebell/ownership/lease_request.h"
#include "testing/endpoint_order.h"
#include "testing/epoch_fence.h"

namespace bluebell {

struct endpoint_traits {
  endpoint_instance self;
  std::uint32_t slots = 2;
  // Orders that may wait for a slot; more are refused as overloaded.
  std::uint32_t queue_limit = 16;
  // False: the endpoint doesn't verify who sends an order.
  bool checks_epoch = true;
  // How long a draining endpoint still accepts orders.
  std::int64_t drain_grace_ns = 2'000'000'000;
  // Service times begin at this factor and fall to 1 over `warm_up_ns`.
  double cold_factor = 1.0;
  std::int64_t warm_up_ns = 0;

  friend bool operator==(const endpoint_traits&,
                         const endpoint_traits&) = default;
};

class endpoint_model {
 public:
  endpoint_model(endpoint_traits traits, std::int64_t started_at_ns);

  // Takes in grants and revocations and reports the endpoint's state.
  lease_reply Handle(const lease_request& request, std::int64_t clock_ns);

  // True if a lease for `where` is in force.
  bool Holds(key_hash where, std::int64_t clock_ns) const;

  // The leases in force, ordered by range and epoch.
  std::vector<lease> LeasesAt(std::int64_t clock_ns) const;

  order_decision Admit(const endpoint_order& order, std::int64_t clock_ns);

  // Ends a running order and decides about the orders that wait. Those that no
  // longer may run are refused; they have not run.
  std::vector<late_decision> Finish(std::uint64_t ticket,
                                    std::int64_t clock_ns);

  // Removes an order that waits. False if it doesn't wait.
  bool CancelQueued(std::uint64_t ticket);

  // The endpoint is leaving.
  void Drain(std::int64_t clock_ns);

  // The endpoint's state, as in a lease reply without leases.
  lease_reply Report(std::int64_t clock_ns) const;

  // By how much service times are longer than those of a warm endpoint.
  double ServiceFactor(std::int64_t clock_ns) const;

  const endpoint_traits& traits() const { return traits_; }

 private:
  struct held_lease {
    lease what;
    std::int64_t expires_at_ns = 0;
  };
  struct waiting_order {
    std::uint64_t ticket = 0;
    endpoint_order order;
  };
  // What a running order uses; empty for services without keys.
  using used_lease = std::optional<lease>;

  bool IsAddressee(const endpoint_instance& to) const;
  bool Grant(const lease& wanted,
             std::int64_t expires_at_ns,
             std::int64_t clock_ns);
  void GiveUp(const lease& revoked);
  bool IsUnused(const lease& revoked) const;
  void TrimBelowFence(const lease& granted);
  const held_lease* FindLease(const slice_claim& claim,
                              std::int64_t clock_ns) const;
  std::optional<refusal> ReasonToRefuse(const endpoint_order& order,
                                        std::int64_t clock_ns) const;
  void Start(const waiting_order& started, std::int64_t clock_ns);

  endpoint_traits traits_;
  std::int64_t started_at_ns_;
  std::optional<std::int64_t> draining_since_ns_;
  std::uint64_t highest_dispatcher_epoch_ = 0;
  std::uint64_t next_ticket_ = 1;
  epoch_fence fence_;
  std::vector<held_lease> leases_;
  std::map<std::uint64_t, used_lease> running_;
  std::deque<waiting_order> waiting_;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_ENDPOINT_MODEL_H_
