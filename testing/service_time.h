// How long endpoints take to run an order: a distribution around a mean, with a
// factor for each rank.
//
//   result<service_time> time = service_time::Parse("exponential", 40.0,
//   {1,1,2}); duration next = time.value().Draw(rank::kUrgent, random);

#ifndef BLUEBELL_TESTING_SERVICE_TIME_H_
#define BLUEBELL_TESTING_SERVICE_TIME_H_

#include <array>
#include <random>
#include <string_view>
#include <variant>

#include "bluebell/core/rank.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct fixed_time {
  friend bool operator==(const fixed_time&, const fixed_time&) = default;
};
// From half the mean to one and a half.
struct uniform_time {
  friend bool operator==(const uniform_time&, const uniform_time&) = default;
};
// Cut off at ten times the mean.
struct exponential_time {
  friend bool operator==(const exponential_time&,
                         const exponential_time&) = default;
};

using time_distribution =
    std::variant<fixed_time, uniform_time, exponential_time>;

class service_time {
 public:
  static result<service_time> Parse(
      std::string_view distribution,
      double mean_ms,
      const std::array<double, kRanks.size()>& rank_factors);

  duration Draw(rank priority, std::mt19937_64& random) const;

  friend bool operator==(const service_time&, const service_time&) = default;

 private:
  time_distribution distribution_;
  double mean_ms_ = 0;
  std::array<double, kRanks.size()> rank_factors_ = {};
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_SERVICE_TIME_H_
