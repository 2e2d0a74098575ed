// Chooses endpoints for waiting requests with a cross_domain_forecast, in one
// pass over a queue in its order. The pass ends when a request gets an
// endpoint, because that changes what is free.
//
//   cross_domain_pass pass(forecast, limit, endpoints, max_held_back, now);
//   if (scheduled_endpoint* target = pass.Choose(request)) ...

#ifndef BLUEBELL_PERMITS_CROSS_DOMAIN_PASS_H_
#define BLUEBELL_PERMITS_CROSS_DOMAIN_PASS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/permits/cold_start_limit.h"
#include "bluebell/permits/cross_domain_forecast.h"
#include "bluebell/permits/scheduled_endpoint.h"
#include "bluebell/permits/waiting_request.h"

namespace bluebell {

class cross_domain_pass {
 public:
  // `forecast`, `limit` and `endpoints` must outlive the pass. After
  // `max_held_back` requests were held back, further ones wait without a
  // forecast if their own domain has endpoints but no free slot, except for
  // those of rank 0.
  cross_domain_pass(cross_domain_forecast& forecast,
                    const cold_start_limit& limit,
                    std::map<endpoint_id, scheduled_endpoint>& endpoints,
                    std::size_t max_held_back,
                    instant now)
      : forecast_(forecast),
        limit_(limit),
        endpoints_(endpoints),
        max_held_back_(max_held_back),
        now_(now) {}

  // The endpoint that the request should be sent to now; null if it should
  // wait. Call it for the requests in the order of the queue.
  scheduled_endpoint* Choose(const waiting_request& request);

  // The requests that wait although some endpoint has a free slot.
  std::size_t held_back() const { return held_back_; }

 private:
  // The endpoints of one domain.
  struct domain_candidate {
    std::optional<double> least_cost;
    // The endpoint with the lowest cost that has a free slot; null if none has.
    scheduled_endpoint* best = nullptr;
    double free_cost = 0;
    // True if `best` is limited because it is cold.
    bool is_limited = false;
    std::uint32_t free_slots = 0;
  };
  using candidates_by_domain = std::map<domain_name, domain_candidate>;

  // True if the request waits without a forecast.
  bool IsPassedOver(const permit_request& message,
                    const candidates_by_domain& candidates) const;
  const candidates_by_domain& CandidatesFor(const permit_request& message);

  cross_domain_forecast& forecast_;
  const cold_start_limit& limit_;
  std::map<endpoint_id, scheduled_endpoint>& endpoints_;
  std::size_t max_held_back_;
  instant now_;
  // By the endpoints that requests exclude.
  std::map<std::vector<endpoint_id>, candidates_by_domain> candidates_;
  // The work of the requests from each domain that wait and were passed over.
  std::map<domain_name, duration> work_before_;
  std::vector<domain_offer> offers_;
  std::size_t held_back_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_CROSS_DOMAIN_PASS_H_
