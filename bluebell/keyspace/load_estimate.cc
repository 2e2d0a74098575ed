#include "bluebell/keyspace/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace bluebell {

namespace {

// A block this many standard deviations above the median has keys that are
// busier than others. Its load is kept as measured and doesn't count in the
// mean.
constexpr double kBusyBlockDeviations = 6;
// The even part of the load is stated for every eighth key, which is exact
// enough for ranges and keeps the list short.
constexpr std::size_t kEvenStep = 8;

// The mean of the blocks that aren't busy, and the share of the differences
// between them that chance doesn't explain.
struct block_statistics {
  double mean = 0;
  double kept_share = 1;
  double busy_limit = 0;
};

block_statistics StatisticsOf(const std::vector<double>& blocks,
                              const load_sampling& sampling) {
  block_statistics found;
  // The median isn't moved by a few busy blocks.
  std::vector<double> sorted = blocks;
  const auto middle =
      sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  // Requests arrive independently, so the variance of a measured load is the
  // load times the work of one request over twice the time constant.
  const double variance_share = sampling.mean_work / sampling.mean_time / 2;
  found.busy_limit = *middle + variance_share +
                     kBusyBlockDeviations * std::sqrt(*middle * variance_share);
  double sum = 0;
  double squares = 0;
  double count = 0;
  for (const double load : blocks) {
    if (load <= found.busy_limit) {
      sum += load;
      squares += load * load;
      ++count;
    }
  }
  if (count == 0) {
    return found;
  }
  found.mean = sum / count;
  const double variance = squares / count - found.mean * found.mean;
  const double by_chance = found.mean * variance_share;
  found.kept_share =
      variance <= by_chance ? 0 : (variance - by_chance) / variance;
  return found;
}

}  // namespace

std::vector<shard_load> EstimateLoads(const std::vector<shard_load>& measured,
                                      const load_sampling& sampling) {
  std::vector<double> blocks(kLoadBlockCount, 0);
  for (const shard_load& load : measured) {
    blocks[load.key / kKeysPerLoadBlock] += load.slots;
  }
  const block_statistics statistics = StatisticsOf(blocks, sampling);
  const double even_load = statistics.mean * (1 - statistics.kept_share) *
                           kEvenStep / kKeysPerLoadBlock;
  std::vector<shard_load> estimated;
  estimated.reserve(measured.size() +
                    kLoadBlockCount * kKeysPerLoadBlock / kEvenStep);
  auto next = measured.begin();
  for (std::size_t block = 0; block < kLoadBlockCount; ++block) {
    const double correction = sampling.corrections[block];
    const bool is_even =
        correction == 1 && blocks[block] <= statistics.busy_limit;
    const double factor = is_even ? statistics.kept_share : correction;
    for (std::size_t i = 0; i < kKeysPerLoadBlock; ++i) {
      const auto key = static_cast<shard_key>(block * kKeysPerLoadBlock + i);
      double slots = is_even && i % kEvenStep == 0 ? even_load : 0;
      if (next != measured.end() && next->key == key) {
        slots += next->slots * factor;
        ++next;
      }
      if (slots > 0) {
        estimated.push_back({key, slots});
      }
    }
  }
  return estimated;
}

}  // namespace bluebell
