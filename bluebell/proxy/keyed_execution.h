// An attempt of a keyed request that may have run at an endpoint.

#ifndef BLUEBELL_PROXY_KEYED_EXECUTION_H_
#define BLUEBELL_PROXY_KEYED_EXECUTION_H_

#include "bluebell/core/ids.h"

namespace bluebell {

struct keyed_execution {
  endpoint_instance endpoint;
  // The fence of the key's assignment to `endpoint` at that time.
  epoch fence;
  // The highest fence of the key table at that time; zero if it isn't known.
  epoch table_fence{};

  friend bool operator==(const keyed_execution&,
                         const keyed_execution&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_PROXY_KEYED_EXECUTION_H_
