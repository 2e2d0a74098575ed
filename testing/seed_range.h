// The seeds of a randomised run, as given on the command line.
//
//   const seed_range seeds = seed_range::Parse("1..50");

#ifndef TESTING_SEED_RANGE_H_
#define TESTING_SEED_RANGE_H_

#include <cstdint>
#include <string>

namespace bluebell {

struct seed_range {
  // Both inclusive.
  std::uint64_t first = 0;
  std::uint64_t last = 0;

  // Reads "A..B", or "A" for one seed. Throws std::invalid_argument, like
  // std::stoull, for other text.
  static seed_range Parse(const std::string& text);

  friend bool operator==(const seed_range&, const seed_range&) = default;
};

}  // namespace bluebell

#endif  // TESTING_SEED_RANGE_H_
