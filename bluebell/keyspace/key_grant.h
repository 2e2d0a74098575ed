// Orders about keys that the coordinator sends to an endpoint, and the
// endpoint's answers.

#ifndef BLUEBELL_KEYSPACE_KEY_GRANT_H_
#define BLUEBELL_KEYSPACE_KEY_GRANT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/keyspace/key_range.h"

namespace bluebell {

// Allows an endpoint to serve a range of keys for the time `grant_duration`,
// counted from the arrival of the order. The same order sent again renews the
// grant.
struct key_grant {
  key_range range;
  epoch fence;
  milliseconds grant_duration{0};
  // The token that the former owner returned with its release; empty if there
  // was none. With it the endpoint starts with the former owner's warm state
  // for these keys.
  std::string handover;

  friend bool operator==(const key_grant&, const key_grant&) = default;
};

// Ends an endpoint's grant of a range: it begins no more work on these keys,
// and answers when the work that is running on them has ended.
struct key_release {
  key_range range;
  epoch fence;

  friend bool operator==(const key_release&, const key_release&) = default;
};

enum class grant_verdict : std::uint8_t {
  kAccepted,
  // Refused: the endpoint has seen a higher fence for one of the keys.
  kSuperseded,
  // Refused for another reason.
  kRejected,
};

// The result of a grant order.
struct grant_reply {
  // No value if no answer came.
  std::optional<grant_verdict> verdict;
  // False if it is certain that the order was never sent.
  bool sent = true;

  friend bool operator==(const grant_reply&, const grant_reply&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_KEY_GRANT_H_
