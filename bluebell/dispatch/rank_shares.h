// Decides which rank gets the next slot: the most urgent rank with waiting
// requests, unless a lower rank with waiting requests has had less than its
// guaranteed share of slot time.
//
// Each rank has a credit in slot time. While it has waiting requests, it is
// credited its share of all slot time that is assigned, and it is charged the
// slot time that it gets. A rank without waiting requests gains no credit.
//
//   rank_shares shares(values.share_percent, slots);
//   std::optional<rank> next = shares.Pick(waiting);
//   shares.Charge(*next, expected, waiting);

#ifndef BLUEBELL_DISPATCH_RANK_SHARES_H_
#define BLUEBELL_DISPATCH_RANK_SHARES_H_

#include <array>
#include <cstdint>
#include <optional>

#include "bluebell/core/rank.h"
#include "bluebell/core/time.h"

namespace bluebell {

// For each rank, whether it has waiting requests.
using rank_flags = std::array<bool, kRanks.size()>;

class rank_shares {
 public:
  rank_shares(const std::array<std::uint32_t, kRanks.size()>& share_percent,
              std::uint32_t slots);

  // The rank that gets the next slot. No value if no rank has waiting requests.
  std::optional<rank> Pick(const rank_flags& waiting) const;

  // Assigns `slot_time` to the rank `served`. `waiting` is the state before.
  void Charge(rank served, duration slot_time, const rank_flags& waiting);

  // Corrects a charge: a request of `served` used more slot time than it was
  // charged, by `difference`, which may be negative.
  void Correct(rank served, duration difference);

  // True if the credit of `value` is so high that the rank goes before urgent
  // requests.
  bool IsOwed(rank value) const;

  // The guaranteed share of `value`, from 0 to 1.
  double GuaranteedShare(rank value) const { return share_[RankIndex(value)]; }

  friend bool operator==(const rank_shares&, const rank_shares&) = default;

 private:
  void AddCredit(std::size_t index, double amount);

  std::array<double, kRanks.size()> share_ = {};
  // In nanoseconds of slot time.
  std::array<double, kRanks.size()> credit_ = {};
  double slots_;
};

}  // namespace bluebell

#endif  // BLUEBELL_DISPATCH_RANK_SHARES_H_
