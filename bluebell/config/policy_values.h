// Limits, shares and deadlines that operators may change while the fleet runs.

#ifndef BLUEBELL_CONFIG_POLICY_VALUES_H_
#define BLUEBELL_CONFIG_POLICY_VALUES_H_

#include <array>
#include <cstdint>

#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"

namespace bluebell {

struct policy_values {
  // Guaranteed share of slot time in percent for each rank; the sum is at most
  // 100.
  std::array<std::uint32_t, kRanks.size()> share_percent = {60, 30, 10};
  // Deadline of requests that name none.
  std::array<milliseconds, kRanks.size()> default_deadline = {
      milliseconds(1'000), milliseconds(2'000), milliseconds(30'000)};
  std::array<milliseconds, kRanks.size()> max_deadline = {
      milliseconds(30'000), milliseconds(60'000), milliseconds(3'600'000)};
  // Requests that may wait for one endpoint, for each rank.
  std::array<std::uint32_t, kRanks.size()> queue_limit = {200, 200, 2'000};
  // Retries as a percentage of first attempts.
  std::uint32_t retry_budget_percent = 10;
  // How long a new endpoint takes to reach its full number of slots.
  milliseconds warm_up{2'000};
  // Planned moves of slices in a minute, for each service.
  std::uint32_t moves_per_minute = 30;
  // A planned move must lower the imbalance (max over mean) by this much.
  std::uint32_t min_move_gain_percent = 2;
  // Requests that the dispatcher keeps outcomes for, for each endpoint.
  std::uint32_t ledger_entries = 20'000;
  // True: endpoints in scope get no new work.
  bool drain = false;

  friend bool operator==(const policy_values&, const policy_values&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_POLICY_VALUES_H_
