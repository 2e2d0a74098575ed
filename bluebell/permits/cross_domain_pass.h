// Chooses endpoints for waiting requests with a cross_domain_forecast, in one
// pass over a queue in its order. The pass ends when a request gets an
// endpoint, because that changes what is free.
//
//   cross_domain_pass pass(forecast, endpoints, now);
//   if (scheduled_endpoint* target = pass.Choose(request)) ...

#ifndef BLUEBELL_PERMITS_CROSS_DOMAIN_PASS_H_
#define BLUEBELL_PERMITS_CROSS_DOMAIN_PASS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/permits/cross_domain_forecast.h"
#include "bluebell/permits/scheduled_endpoint.h"
#include "bluebell/permits/waiting_request.h"

namespace bluebell {

class cross_domain_pass {
 public:
  // `forecast` and `endpoints` must outlive the pass.
  cross_domain_pass(cross_domain_forecast& forecast,
                    std::map<endpoint_id, scheduled_endpoint>& endpoints,
                    instant now)
      : forecast_(forecast), endpoints_(endpoints), now_(now) {}

  // The endpoint that the request should be sent to now; null if it should
  // wait. Call it for the requests in the order of the queue.
  scheduled_endpoint* Choose(const waiting_request& request);

  // True if a request waits although some endpoint has a free slot.
  bool has_held_back() const { return has_held_back_; }

 private:
  // The endpoints of one domain.
  struct domain_candidate {
    std::optional<double> least_cost;
    // The endpoint with the lowest cost that has a free slot; null if none has.
    scheduled_endpoint* best = nullptr;
    double free_cost = 0;
    std::uint32_t free_slots = 0;
  };
  using candidates_by_domain = std::map<domain_name, domain_candidate>;

  const candidates_by_domain& CandidatesFor(const permit_request& message);

  cross_domain_forecast& forecast_;
  std::map<endpoint_id, scheduled_endpoint>& endpoints_;
  instant now_;
  // By the endpoints that requests exclude.
  std::map<std::vector<endpoint_id>, candidates_by_domain> candidates_;
  // The work of the requests from each domain that wait and were passed over.
  std::map<domain_name, duration> work_before_;
  std::vector<domain_offer> offers_;
  bool has_held_back_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_CROSS_DOMAIN_PASS_H_
