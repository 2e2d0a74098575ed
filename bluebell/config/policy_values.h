// The limits, shares and deadlines that operators can change while the fleet
// runs. See setting.h for their names and ranges.

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
  // The deadline of requests that state none, for each rank.
  std::array<milliseconds, kRanks.size()> default_deadline = {
      milliseconds(1'000), milliseconds(2'000), milliseconds(30'000)};
  // The longest deadline that a request may state, for each rank.
  std::array<milliseconds, kRanks.size()> max_deadline = {
      milliseconds(30'000), milliseconds(60'000), milliseconds(3'600'000)};
  // The number of requests that may wait for one endpoint, for each rank.
  std::array<std::uint32_t, kRanks.size()> queue_limit = {200, 200, 2'000};
  // The limit of retries as a percentage of first attempts.
  std::uint32_t retry_budget_percent = 10;
  // The time in which a new endpoint reaches its full number of slots.
  milliseconds warm_up{2'000};
  // The limit of planned slice moves per minute, for each service.
  std::uint32_t moves_per_minute = 30;
  // The least amount by which a planned move must lower the imbalance (maximum
  // load divided by mean load).
  std::uint32_t min_move_gain_percent = 2;
  // The number of requests per endpoint whose outcomes the dispatcher keeps.
  std::uint32_t ledger_entries = 20'000;
  // True if endpoints in the scope get no new requests.
  bool drain = false;

  friend bool operator==(const policy_values&, const policy_values&) = default;
};

}  // namespace bluebell

#endif  // BLUEBELL_CONFIG_POLICY_VALUES_H_
