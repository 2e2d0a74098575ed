// Orders about keys to an endpoint, and what it answers.

#ifndef BLUEBELL_KEYSPACE_KEY_GRANT_H_
#define BLUEBELL_KEYSPACE_KEY_GRANT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

// Lets an endpoint serve a range for `hold`, counted from the order's arrival.
// The same order again renews it.
struct key_grant {
  key_range range;
  epoch fence;
  milliseconds hold{0};
  // What the former owner's release returned; empty if there was none. With it
  // the endpoint takes the keys over warm.
  std::string handover;

  friend bool operator==(const key_grant&, const key_grant&) = default;
};

// Ends an endpoint's permission to begin work on a range.
struct key_release {
  key_range range;
  epoch fence;

  friend bool operator==(const key_release&, const key_release&) = default;
};

enum class grant_verdict : std::uint8_t {
  kAccepted,
  // The endpoint has seen a higher fence on one of the keys.
  kSuperseded,
  kRejected,
};

// How a grant order ended.
struct grant_reply {
  // Nothing if no answer came.
  std::optional<grant_verdict> verdict;
  // False if it is certain that the order never left this host.
  bool sent = true;

  friend bool operator==(const grant_reply&, const grant_reply&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_GRANT_H_
