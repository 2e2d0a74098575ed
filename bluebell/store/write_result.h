// How a compare-and-swap in the platform's store ended.

#ifndef BLUEBELL_STORE_WRITE_RESULT_H_
#define BLUEBELL_STORE_WRITE_RESULT_H_

#include <variant>

#include "bluebell/core/error.h"
#include "bluebell/core/ids.h"

namespace bluebell {

struct write_applied {
  store_version version;

  friend bool operator==(const write_applied&, const write_applied&) = default;
};

// Another write came first.
struct write_conflict {
  store_version current;

  friend bool operator==(const write_conflict&,
                         const write_conflict&) = default;
};

// No answer: the write may have taken effect. Read back and look for the
// change id.
struct write_in_doubt {
  error cause;

  friend bool operator==(const write_in_doubt&,
                         const write_in_doubt&) = default;
};

using write_result =
    std::variant<write_applied, write_conflict, write_in_doubt>;

}  // namespace bluebell

#endif  // BLUEBELL_STORE_WRITE_RESULT_H_
