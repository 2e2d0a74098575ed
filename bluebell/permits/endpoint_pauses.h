// Endpoints that have asked this daemon to send them no requests for some time:
// they answered 503 with a Retry-After header. A request names them in its
// permit request, so that any dispatcher chooses another endpoint. Not
// thread-safe.
//
//   endpoint_pauses pauses;
//   pauses.Record(service, endpoint, now + retry_after);
//   request.excluded_endpoints = pauses.PausedEndpoints(service, now);

#ifndef BLUEBELL_PERMITS_ENDPOINT_PAUSES_H_
#define BLUEBELL_PERMITS_ENDPOINT_PAUSES_H_

#include <map>
#include <optional>
#include <vector>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

class endpoint_pauses {
 public:
  // The endpoint wants no requests until `until`. An earlier pause that ends
  // later stays in force.
  void Record(const service_name& service,
              const endpoint_instance& endpoint,
              instant until);

  // The end of the endpoint's pause; nullopt if it has none at `now`. A later
  // process under the same id isn't bound by the pause of its predecessor.
  std::optional<instant> PausedUntil(const service_name& service,
                                     const endpoint_instance& endpoint,
                                     instant now) const;
  // The endpoints of the service with a pause at `now`, in ascending order.
  // Forgets pauses that have ended.
  std::vector<endpoint_instance> PausedEndpoints(const service_name& service,
                                                 instant now);

 private:
  std::map<service_name, std::map<endpoint_instance, instant>> pauses_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ENDPOINT_PAUSES_H_
