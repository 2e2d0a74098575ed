// The number of a move of keys: unique within one coordinator's term, ascending
// in the order in which the moves start.
//
//   move_number next = move_number(last.value() + 1);

#ifndef BLUEBELL_KEYSPACE_MOVE_NUMBER_H_
#define BLUEBELL_KEYSPACE_MOVE_NUMBER_H_

#include <cstdint>

#include "bluebell/core/strong_value.h"

namespace bluebell {

using move_number = strong_value<struct move_number_tag, std::uint64_t>;

}  // namespace bluebell

#endif  // BLUEBELL_KEYSPACE_MOVE_NUMBER_H_
