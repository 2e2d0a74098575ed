// The result of a compare-and-swap in the platform's store.

#ifndef BLUEBELL_STORE_WRITE_RESULT_H_
#define BLUEBELL_STORE_WRITE_RESULT_H_

#include <variant>

#include "bluebell/core/error.h"
#include "bluebell/core/ids.h"

namespace bluebell {

struct write_applied {
  // The new version of the value.
  store_version version;

  friend bool operator==(const write_applied&, const write_applied&) = default;
};

// The value didn't have the expected version; nothing was written.
struct write_conflict {
  // The present version of the value.
  store_version current;

  friend bool operator==(const write_conflict&,
                         const write_conflict&) = default;
};

// The response was lost or unclear, so the write may have taken effect. The
// caller reads the value back and looks for the id of its change.
struct write_in_doubt {
  error cause;

  friend bool operator==(const write_in_doubt&,
                         const write_in_doubt&) = default;
};

using write_result =
    std::variant<write_applied, write_conflict, write_in_doubt>;

}  // namespace bluebell

#endif  // BLUEBELL_STORE_WRITE_RESULT_H_
