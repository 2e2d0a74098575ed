// Divides the requests of a route among its services by weight, evenly over
// short times: after any number of requests each service is within one request
// of its share.
//
//   share_picker picker;
//   const service_share& share = picker.Pick(route);

#ifndef BLUEBELL_PROXY_SHARE_PICKER_H_
#define BLUEBELL_PROXY_SHARE_PICKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "bluebell/fleet/service_route.h"

namespace bluebell {

class share_picker {
 public:
  const service_share& Pick(const service_route& route);

 private:
  struct route_credits {
    std::vector<service_share> shares;
    std::vector<std::int64_t> credits;
  };

  std::map<std::string, route_credits> by_route_;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_SHARE_PICKER_H_
