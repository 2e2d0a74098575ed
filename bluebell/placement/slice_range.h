// A contiguous range of key hashes. Both bounds are inclusive, so that one
// range can cover the whole hash space.
//
//   slice_range half{0, kLastHash / 2};

#ifndef BLUEBELL_PLACEMENT_SLICE_RANGE_H_
#define BLUEBELL_PLACEMENT_SLICE_RANGE_H_

#include <compare>
#include <cstdint>
#include <limits>
#include <ostream>
#include <vector>

#include "bluebell/core/key_hash.h"

namespace bluebell {

inline constexpr key_hash kLastHash = std::numeric_limits<key_hash>::max();

struct slice_range {
  key_hash first = 0;
  key_hash last = kLastHash;

  bool Contains(key_hash hash) const { return first <= hash && hash <= last; }
  bool Overlaps(const slice_range& other) const {
    return first <= other.last && other.first <= last;
  }
  // The part of the hash space that the range covers, from 0 to 1.
  double HashSpaceShare() const;

  friend bool operator==(const slice_range&, const slice_range&) = default;
  friend auto operator<=>(const slice_range&, const slice_range&) = default;
  // Prints the first hash as 16 hexadecimal digits. It identifies a slice
  // within its table.
  friend std::ostream& operator<<(std::ostream& out, const slice_range& v);

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(first, last);
  }
};

// Splits the hash space into `count` ranges of nearly equal size, in ascending
// order. `count` must be at least 1.
std::vector<slice_range> DivideHashSpace(std::uint32_t count);

}  // namespace bluebell

#endif  // BLUEBELL_PLACEMENT_SLICE_RANGE_H_
