#include "testing/key_source.h"

#include <algorithm>
#include <cmath>

#include "bluebell/core/overloaded.h"

namespace bluebell {

namespace {

std::vector<double> CumulativeWeights(const key_distribution& distribution) {
  std::vector<double> sums;
  if (const auto* zipf = std::get_if<zipf_keys>(&distribution)) {
    double sum = 0;
    for (std::uint32_t index = 1; index <= zipf->count; ++index) {
      sum += std::pow(static_cast<double>(index), -zipf->exponent);
      sums.push_back(sum);
    }
  }
  return sums;
}

}  // namespace

key_source::key_source(const key_distribution& distribution, std::uint64_t seed)
    : distribution_(distribution),
      random_(seed),
      cumulative_(CumulativeWeights(distribution)) {}

std::uint32_t key_source::Index(duration since_start) {
  const auto below = [this](std::uint32_t count) {
    return std::uniform_int_distribution<std::uint32_t>(0, count - 1)(random_);
  };
  return std::visit(
      overloaded{
          [&](const uniform_keys& keys) { return below(keys.count); },
          [&](const zipf_keys&) {
            const double drawn = std::uniform_real_distribution(
                0.0, cumulative_.back())(random_);
            const auto found =
                std::lower_bound(cumulative_.begin(), cumulative_.end(), drawn);
            return static_cast<std::uint32_t>(found - cumulative_.begin());
          },
          [&](const hot_keys& keys) {
            if (!std::bernoulli_distribution(keys.hot_share)(random_)) {
              return below(keys.count);
            }
            const auto round = keys.replaced_every.count() == 0
                                   ? 0
                                   : since_start / keys.replaced_every;
            const auto first = static_cast<std::uint32_t>(round) * keys.hot;
            return (first + below(keys.hot)) % keys.count;
          }},
      distribution_);
}

std::string key_source::Next(duration since_start) {
  return "key-" + std::to_string(Index(since_start));
}

}  // namespace bluebell
