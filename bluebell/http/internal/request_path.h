// Reads the service's name from the target of a caller's request, which has the
// form "/v1/<service>/<path>".

#ifndef BLUEBELL_HTTP_INTERNAL_REQUEST_PATH_H_
#define BLUEBELL_HTTP_INTERNAL_REQUEST_PATH_H_

#include <string_view>

#include "bluebell/core/ids.h"
#include "bluebell/core/result.h"

namespace bluebell {

// Fails with errc::kInvalidArgument unless `target` has that form and contains
// no dot segments. An endpoint that resolves dot segments could take the target
// for one of its own paths, such as /bluebell/drain.
result<service_name> ServiceOfTarget(std::string_view target);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_INTERNAL_REQUEST_PATH_H_
