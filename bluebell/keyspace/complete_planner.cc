#include "bluebell/keyspace/complete_planner.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <queue>
#include <utility>

#include "bluebell/keyspace/key_load_index.h"

namespace bluebell {

namespace {

// An owner gives keys away when its use, its load divided by its capacity, is
// above the mean use times this factor and above the mean use plus this share.
constexpr double kMaxUseFactor = 1.35;
constexpr double kMinExcessShare = 0.2;
// It keeps this multiple of an even share, so that it isn't left below the mean
// by a load that was measured too high.
constexpr double kKeptUseFactor = 1.05;
// A new owner gets up to this multiple of an even share: larger pieces leave
// the table with fewer ranges.
constexpr double kFilledUseFactor = 1.1;
// An owner whose use is above this multiple of the mean has keys that have just
// become busy. They are spread at once, over owners that then give other keys
// away and get up to the second multiple of an even share.
constexpr double kUrgentDonorUseFactor = 2;
constexpr double kUrgentUseFactor = 1.6;
// The highest use of an owner by such keys alone.
constexpr double kMaxUrgentUse = 0.9;
// While the use is below this, moves interrupt next to no work, and keys are
// spread evenly whatever their load.
constexpr double kIdleUse = 0.01;
constexpr double kMaxIdleUseFactor = 1.02;
// The load that each key counts in addition to its measured load, so that keys
// without requests are divided evenly.
constexpr double kIdleKeyLoadSlots = 1e-5;
// The shares of the load that move at the same time at most, because requests
// for moving keys wait for the work that runs on them. The second one is for
// keys that have just become busy: their requests wait or are refused anyway.
constexpr double kMaxMovingShare = 0.1;
constexpr double kMaxUrgentMovingShare = 0.3;
// Each release is a call on a connection of its own.
constexpr std::size_t kMaxReleasesPerOwner = 64;
// Limits the number of ranges in the table, because each range is renewed by
// its own call, and the coordinator also dispatches the requests. The second
// limit is for keys that have just become busy.
constexpr std::size_t kMaxRangesPerOwner = 2;
constexpr std::size_t kMaxUrgentRangesPerOwner = 3;
// Limits the moves of a plan whose keys haven't just become busy, for the same
// reason.
constexpr std::size_t kMaxOrdinaryMoves = 16;
// A piece is moved only if its load is more than this share of the load that
// could be moved.
constexpr double kMinPieceShare = 0.15;
// A whole range is preferred to a part of one with a higher load, because it
// adds no range to the table.
constexpr double kWholeRangePreference = 1.4;
// The highest use of the new owner after the move of a piece that is larger
// than an even load allows, relative to the use of the former owner before it.
constexpr double kMaxUseAfterMoveRatio = 0.85;

// Avoids a division by zero.
constexpr double kMinCapacity = 0.01;

struct owner_state {
  endpoint_instance owner;
  double capacity = 0;
  double load = 0;
  std::vector<key_range> movable;
  // Moves away from this owner in this plan.
  std::size_t releases = 0;

  double use() const { return load / std::max(kMinCapacity, capacity); }
};

struct piece {
  key_range range;
  double load = 0;
  // The movable range that the piece is taken from.
  std::size_t source = 0;
};

// The owners ordered by the load that they may get in addition. An entry whose
// owner has got some since is put in order when it reaches the top.
class receiver_queue {
 public:
  void Push(double room, std::size_t owner) {
    if (room > 0) {
      entries_.emplace(room, owner);
    }
  }
  // The owner with the most room, which `room_of` says for each owner. No value
  // if no owner has room.
  template <typename RoomOf>
  std::optional<std::size_t> Top(const RoomOf& room_of) {
    while (!entries_.empty()) {
      const auto [room, owner] = entries_.top();
      const double present_room = room_of(owner);
      if (present_room >= room) {
        return owner;
      }
      entries_.pop();
      Push(present_room, owner);
    }
    return std::nullopt;
  }

 private:
  std::priority_queue<std::pair<double, std::size_t>> entries_;
};

// Builds one plan.
class planner {
 public:
  explicit planner(const complete_plan_input& input)
      : index_(input.loads, kIdleKeyLoadSlots),
        range_count_(input.ranges.size()),
        total_(index_.LoadOf(key_range())),
        mean_use_(total_ / TotalCapacity(input)) {
    for (const auto& [owner, capacity] : input.owner_capacities) {
      owners_.push_back({owner, capacity, 0, {}, 0});
    }
    for (const owned_range& each : input.ranges) {
      if (owner_state* state = FindOwner(each.owner)) {
        state->load += index_.LoadOf(each.range);
        if (each.is_movable) {
          state->movable.push_back(each.range);
        }
      }
    }
    for (const key_range& range : input.moving) {
      moving_load_ += index_.LoadOf(range);
    }
  }

  std::vector<planned_move> Plan() {
    for (std::size_t i = 0; i < owners_.size(); ++i) {
      if (IsOverloaded(owners_[i])) {
        donors_.emplace(owners_[i].use(), i);
      } else {
        receivers_.Push(RoomOf(owners_[i], kFilledUseFactor), i);
        urgent_receivers_.Push(RoomOf(owners_[i], kUrgentUseFactor), i);
      }
    }
    while (!donors_.empty()) {
      const std::size_t from = donors_.top().second;
      donors_.pop();
      if (MoveFrom(owners_[from]) &&
          owners_[from].use() > mean_use_ * kept_use_factor()) {
        donors_.emplace(owners_[from].use(), from);
      }
    }
    return std::move(moves_);
  }

 private:
  static double TotalCapacity(const complete_plan_input& input) {
    double capacity = 0;
    for (const auto& [owner, slots] : input.owner_capacities) {
      capacity += slots;
    }
    return std::max(kMinCapacity, capacity);
  }

  owner_state* FindOwner(const endpoint_instance& owner) {
    const auto found = std::lower_bound(
        owners_.begin(), owners_.end(), owner,
        [](const owner_state& state, const endpoint_instance& wanted) {
          return state.owner < wanted;
        });
    return found != owners_.end() && found->owner == owner ? &*found : nullptr;
  }

  bool is_idle() const { return mean_use_ < kIdleUse; }
  double kept_use_factor() const { return is_idle() ? 1 : kKeptUseFactor; }

  bool IsOverloaded(const owner_state& state) const {
    if (is_idle()) {
      return state.use() > mean_use_ * kMaxIdleUseFactor;
    }
    return state.use() > mean_use_ * kMaxUseFactor &&
           state.use() > mean_use_ + kMinExcessShare;
  }

  // The load that the owner may get until its use is this multiple of the mean.
  double RoomOf(const owner_state& state, double use_factor) const {
    return mean_use_ * use_factor * state.capacity - state.load;
  }

  // Moves one piece away from the owner. Returns false if none can be moved.
  bool MoveFrom(owner_state& donor) {
    const bool is_urgent = donor.use() > mean_use_ * kUrgentDonorUseFactor &&
                           donor.use() > mean_use_ + kMinExcessShare;
    const double use_factor = is_urgent ? kUrgentUseFactor : kFilledUseFactor;
    const auto to = (is_urgent ? urgent_receivers_ : receivers_)
                        .Top([&](std::size_t owner) {
                          return RoomOf(owners_[owner], use_factor);
                        });
    const bool has_enough_moves =
        !is_urgent && !is_idle() && ordinary_moves_ >= kMaxOrdinaryMoves;
    if (!to || donor.releases >= kMaxReleasesPerOwner || has_enough_moves) {
      return false;
    }
    owner_state& receiver = owners_[*to];
    const double excess =
        donor.load - mean_use_ * kept_use_factor() * donor.capacity;
    const bool may_split = MaySplit(is_urgent);
    std::optional<piece> best = BestPiece(
        donor, std::min(excess, RoomOf(receiver, use_factor)), may_split);
    if (!best) {
      best = BestPiece(donor, LargerLoadFor(donor, receiver, is_urgent),
                       may_split);
    }
    if (!best || ExceedsMovingShare(best->load, is_urgent)) {
      return false;
    }
    ordinary_moves_ += is_urgent ? 0 : 1;
    Take(donor, *best);
    moving_load_ += best->load;
    donor.load -= best->load;
    ++donor.releases;
    receiver.load += best->load;
    moves_.push_back({best->range, receiver.owner});
    return true;
  }

  // The highest load that the receiver may get if no smaller piece is left, for
  // example because a single key has more.
  static double LargerLoadFor(const owner_state& donor,
                              const owner_state& receiver,
                              bool is_urgent) {
    if (is_urgent) {
      // The receiver can give its present keys away.
      return kMaxUrgentUse * receiver.capacity;
    }
    return donor.use() * kMaxUseAfterMoveRatio * receiver.capacity -
           receiver.load;
  }

  bool ExceedsMovingShare(double load, bool is_urgent) const {
    const double share = is_urgent ? kMaxUrgentMovingShare : kMaxMovingShare;
    return !is_idle() && moving_load_ > 0 &&
           moving_load_ + load > share * total_;
  }

  bool MaySplit(bool is_urgent) const {
    return range_count_ < owners_.size() * (is_urgent ? kMaxUrgentRangesPerOwner
                                                      : kMaxRangesPerOwner);
  }

  // The best part of the owner's movable ranges with at most `max_load`. No
  // value if none is worth a move.
  std::optional<piece> BestPiece(const owner_state& donor,
                                 double max_load,
                                 bool may_split) const {
    std::optional<piece> best;
    double best_worth = std::max(0.0, max_load * kMinPieceShare);
    const auto consider = [&](const key_range& range, std::size_t source,
                              double preference) {
      const double load = index_.LoadOf(range);
      if (load <= max_load && load * preference > best_worth) {
        best = piece{range, load, source};
        best_worth = load * preference;
      }
    };
    for (std::size_t i = 0; i < donor.movable.size(); ++i) {
      const key_range& range = donor.movable[i];
      consider(range, i, kWholeRangePreference);
      if (!may_split || index_.LoadOf(range) <= max_load) {
        continue;
      }
      if (const auto last = index_.LongestPrefix(range, max_load)) {
        consider({range.first, *last}, i, 1);
      }
      if (const auto first = index_.LongestSuffix(range, max_load)) {
        consider({*first, range.last}, i, 1);
      }
    }
    return best;
  }

  void Take(owner_state& donor, const piece& taken) {
    const key_range source = donor.movable[taken.source];
    donor.movable.erase(donor.movable.begin() +
                        static_cast<std::ptrdiff_t>(taken.source));
    for (const key_range& rest : source.Without(taken.range)) {
      donor.movable.push_back(rest);
      ++range_count_;
    }
  }

  key_load_index index_;
  std::vector<owner_state> owners_;
  std::size_t range_count_;
  double total_;
  double mean_use_;
  double moving_load_ = 0;
  std::size_t ordinary_moves_ = 0;
  // By use.
  std::priority_queue<std::pair<double, std::size_t>> donors_;
  receiver_queue receivers_;
  receiver_queue urgent_receivers_;
  std::vector<planned_move> moves_;
};

}  // namespace

std::vector<planned_move> PlanCompleteRebalance(complete_plan_input input) {
  if (input.owner_capacities.size() < 2) {
    return {};
  }
  // The requests of one key can't be divided, so no endpoint can serve more of
  // them than the fastest one.
  double max_slots = 0;
  for (const auto& [owner, slots] : input.owner_capacities) {
    max_slots = std::max(max_slots, slots);
  }
  for (shard_load& load : input.loads) {
    load.slots = std::min(load.slots, max_slots);
  }
  return planner(input).Plan();
}

}  // namespace bluebell
