// When the grants of a range were sent, for log lines and decisions.

#ifndef BLUEBELL_KEYSPACE_GRANT_TIMES_H_
#define BLUEBELL_KEYSPACE_GRANT_TIMES_H_

#include <optional>

#include "bluebell/core/time.h"

namespace bluebell {

// No value: there was no such grant.
struct grant_times {
  std::optional<instant> last_sent;
  // The latest grant that the endpoint answered.
  std::optional<instant> last_answered;
  // The latest grant without an answer.
  std::optional<instant> last_unanswered;

  friend bool operator==(const grant_times&, const grant_times&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_GRANT_TIMES_H_
