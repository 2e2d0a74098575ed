// How a started request ended at its endpoint, for the endpoint's queue.

#ifndef BLUEBELL_DISPATCH_COMPLETION_H_
#define BLUEBELL_DISPATCH_COMPLETION_H_

#include <variant>

#include "bluebell/core/time.h"

namespace bluebell {

// The endpoint ran the request.
struct completed {
  duration service_time{0};

  friend bool operator==(const completed&, const completed&) = default;
};

// The endpoint refused the request before running it, because it is overloaded.
struct shed {
  friend bool operator==(const shed&, const shed&) = default;
};

// No answer came, or the request was refused for another reason.
struct failed {
  friend bool operator==(const failed&, const failed&) = default;
};

using completion = std::variant<completed, shed, failed>;

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_COMPLETION_H_
