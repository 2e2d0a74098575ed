// Divides the slots of a queue among routes: tells which routes have recently
// taken more than their share. The share of a route is its part of the demand
// over a time that is long compared with a burst, so that a burst of one route
// doesn't take the slots of the others.
//
//   route_shares shares;
//   shares.AddDemand("uploads", work, now);
//   shares.AddServed(queue, "uploads", work, now);
//   auto exceeding = shares.RoutesOverShare(queue, now);

#ifndef BLUEBELL_PERMITS_ROUTE_SHARES_H_
#define BLUEBELL_PERMITS_ROUTE_SHARES_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "bluebell/core/decaying_load.h"
#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"

namespace bluebell {

class route_shares {
 public:
  // Records the arrival of a request.
  void AddDemand(const std::string& route, duration work, instant now);
  // Records that a request has got a slot of the queue.
  void AddServed(const endpoint_id& queue,
                 const std::string& route,
                 duration work,
                 instant now);

  // Forgets the queues for which `exists` is false.
  void ForgetQueues(
      const std::function<bool(const endpoint_id& queue)>& exists);

  // The routes that have recently taken more of the queue than their part of
  // the demand; none if there is only one route.
  std::vector<std::string> RoutesOverShare(const endpoint_id& queue,
                                           instant now) const;

 private:
  using load_by_route = std::map<std::string, decaying_load>;

  load_by_route demand_;
  std::map<endpoint_id, load_by_route> served_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PERMITS_ROUTE_SHARES_H_
