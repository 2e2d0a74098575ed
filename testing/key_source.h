// Which keys a stream of requests uses.
//
//   key_source keys(zipf_keys{1000, 1.0}, seed);
//   std::string key = keys.Next(since_start);

#ifndef BLUEBELL_TESTING_KEY_SOURCE_H_
#define BLUEBELL_TESTING_KEY_SOURCE_H_

#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "bluebell/core/time.h"

namespace bluebell {

struct uniform_keys {
  std::uint32_t count = 1000;

  friend bool operator==(const uniform_keys&, const uniform_keys&) = default;
};

struct zipf_keys {
  std::uint32_t count = 1000;
  double exponent = 1.0;

  friend bool operator==(const zipf_keys&, const zipf_keys&) = default;
};

// A few keys get a share of all requests; other keys take their place again and
// again. A period of zero: they stay.
struct hot_keys {
  std::uint32_t count = 1000;
  std::uint32_t hot = 4;
  double hot_share = 0.5;
  milliseconds replaced_every{0};

  friend bool operator==(const hot_keys&, const hot_keys&) = default;
};

using key_distribution = std::variant<uniform_keys, zipf_keys, hot_keys>;

class key_source {
 public:
  key_source(const key_distribution& distribution, std::uint64_t seed);

  std::string Next(duration since_start);

 private:
  std::uint32_t Index(duration since_start);

  key_distribution distribution_;
  std::mt19937_64 random_;
  // For zipf_keys: the cumulative weight up to each key.
  std::vector<double> cumulative_;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_KEY_SOURCE_H_
