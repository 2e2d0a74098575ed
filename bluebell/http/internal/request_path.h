// Reads the service from a caller's target, "/v1/<service>/<path>".

#ifndef BLUEBELL_HTTP_INTERNAL_REQUEST_PATH_H_
#define BLUEBELL_HTTP_INTERNAL_REQUEST_PATH_H_

#include <string_view>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"

namespace bluebell {

// Fails unless `target` has that form and stays below "/v1/<service>/". A
// target with dot segments could reach an endpoint's own paths, such as
// /bluebell/drain, once the endpoint resolves them.
result<service_name> ServiceOfTarget(std::string_view target);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_INTERNAL_REQUEST_PATH_H_
