#include "bluebell/keyspace/key_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace bluebell {

namespace {

// An owner gives keys away when its use, its load divided by its capacity, is
// at least the mean use times this factor and at least the mean use plus this
// share.
constexpr double kRebalanceUseFactor = 1.4;
constexpr double kRebalanceMinExcessShare = 0.2;
// A piece is moved only if its load is more than this share of the load that is
// to be moved.
constexpr double kMinPieceShare = 0.25;
// The highest use of the new owner after a move, relative to the use of the
// former owner before it.
constexpr double kMaxUseAfterMoveRatio = 0.85;
// The load that each key counts in addition to its measured load, so that keys
// without requests are divided evenly.
constexpr double kIdleKeyLoadSlots = 1e-5;
// Limits the number of ranges in the table, because each range is renewed by
// its own call. Only single keys with a dominant load are split off beyond it.
constexpr std::size_t kMaxRangesPerOwner = 6;
// The limit for those keys. Each owner gets one at a time, which adds up to two
// ranges.
constexpr std::size_t kMaxRangesWithDominantKeys = kMaxRangesPerOwner + 2;

// A key whose load is at least this share of its owner's capacity is placed by
// itself.
constexpr double kDominantKeyShare = 0.6;
// Such a key moves to another endpoint only if that one's capacity is at least
// this many times the owner's.
constexpr double kMinCapacityGainFactor = 1.2;

using owner_loads = std::map<endpoint_instance, double>;

double LoadOf(const std::vector<shard_load>& loads, const key_range& range) {
  const auto first = std::lower_bound(
      loads.begin(), loads.end(), range.first,
      [](const shard_load& load, shard_key key) { return load.key < key; });
  double sum = range.size() * kIdleKeyLoadSlots;
  for (auto each = first; each != loads.end() && each->key <= range.last;
       ++each) {
    sum += each->slots;
  }
  return sum;
}

// The last key up to which the load of the range is at most `max_load`. No
// value if the load of the first key already exceeds it.
std::optional<shard_key> CutAfter(const std::vector<shard_load>& loads,
                                  const key_range& range,
                                  double max_load) {
  if (max_load <= 0) {
    return std::nullopt;
  }
  double sum = 0;
  std::uint32_t next = range.first;
  auto load = std::lower_bound(loads.begin(), loads.end(), range.first,
                               [](const shard_load& candidate, shard_key key) {
                                 return candidate.key < key;
                               });
  while (next <= range.last) {
    // The keys without load before the next key that has some.
    const std::uint32_t next_busy_key =
        load == loads.end() || load->key > range.last
            ? std::uint32_t{range.last} + 1
            : load->key;
    const double idle_load = (next_busy_key - next) * kIdleKeyLoadSlots;
    if (sum + idle_load > max_load) {
      next += static_cast<std::uint32_t>((max_load - sum) / kIdleKeyLoadSlots);
      break;
    }
    sum += idle_load;
    next = next_busy_key;
    if (next > range.last) {
      break;
    }
    if (sum + load->slots + kIdleKeyLoadSlots > max_load) {
      break;
    }
    sum += load->slots + kIdleKeyLoadSlots;
    ++next;
    ++load;
  }
  if (next <= range.first) {
    return std::nullopt;
  }
  return static_cast<shard_key>(next - 1);
}

owner_loads LoadsOfOwners(const key_plan_input& input) {
  owner_loads loads;
  for (const auto& [owner, capacity] : input.owner_capacities) {
    loads[owner] = 0;
  }
  for (const key_assignment& assignment : input.table.assignments()) {
    const auto owner = loads.find(assignment.owner);
    if (owner != loads.end()) {
      owner->second += LoadOf(input.loads, assignment.range);
    }
  }
  return loads;
}

double TotalOf(const owner_loads& loads) {
  double total = 0;
  for (const auto& [owner, load] : loads) {
    total += load;
  }
  return total;
}

// True if a range of `table` may be split.
bool MaySplit(const key_plan_input& input, const key_table& table) {
  return table.assignments().size() <
         std::max<std::size_t>(1, input.owner_capacities.size()) *
             kMaxRangesPerOwner;
}

bool Overlaps(const key_range& range, const std::vector<key_range>& others) {
  return std::any_of(others.begin(), others.end(), [&](const key_range& other) {
    return other.Overlaps(range);
  });
}

// The owner with the lowest load relative to its capacity.
endpoint_instance LeastUsed(const key_plan_input& input,
                            const owner_loads& loads) {
  const auto use_ratio = [&](const auto& owner) {
    return loads.at(owner.first) / std::max(0.01, owner.second);
  };
  return std::min_element(input.owner_capacities.begin(),
                          input.owner_capacities.end(),
                          [&](const auto& a, const auto& b) {
                            return use_ratio(a) < use_ratio(b);
                          })
      ->first;
}

// The piece with the highest load among those of the owner's ranges that may be
// moved and whose load is at most `max_load`. A piece is a whole range or,
// while the table may get more ranges, either end of one. No value if no piece
// exceeds the minimum share of `max_load`.
std::optional<key_range> BestPiece(const key_plan_input& input,
                                   const endpoint_instance& owner,
                                   double max_load) {
  std::optional<key_range> best;
  double best_load = max_load * kMinPieceShare;
  const bool may_split = MaySplit(input, input.table);
  const auto keep_if_better = [&](const key_range& piece) {
    const double load = LoadOf(input.loads, piece);
    if (load > best_load && load <= max_load) {
      best = piece;
      best_load = load;
    }
  };
  for (const key_assignment& assignment : input.table.assignments()) {
    if (assignment.owner != owner || Overlaps(assignment.range, input.moving)) {
      continue;
    }
    keep_if_better(assignment.range);
    if (!may_split) {
      continue;
    }
    const auto cut = CutAfter(input.loads, assignment.range, max_load);
    if (cut && *cut < assignment.range.last) {
      keep_if_better({assignment.range.first, *cut});
    }
    // The upper end of the range, without the load that exceeds `max_load`.
    const double excess = LoadOf(input.loads, assignment.range) - max_load;
    const auto last_kept = CutAfter(input.loads, assignment.range, excess);
    std::uint32_t first =
        last_kept ? std::uint32_t{*last_kept} + 1 : assignment.range.first;
    // The load of the key at the cut may exceed the limit; the second attempt
    // begins after that key.
    for (int attempt = 0; attempt < 2 && first <= assignment.range.last;
         ++attempt, ++first) {
      keep_if_better({static_cast<shard_key>(first), assignment.range.last});
    }
  }
  return best;
}

}  // namespace

std::vector<planned_move> PlanUnownedRanges(
    const key_plan_input& input,
    const std::vector<key_range>& unowned_ranges) {
  std::vector<planned_move> moves;
  if (input.owner_capacities.empty()) {
    return moves;
  }
  owner_loads loads = LoadsOfOwners(input);
  double capacity = 0;
  for (const auto& [owner, slots] : input.owner_capacities) {
    capacity += slots;
  }
  // The ranges of owners that aren't usable count too, because they follow
  // soon. Without them the first of many would be cut into tiny pieces.
  const double mean =
      LoadOf(input.loads, {0, kLastShardKey}) / std::max(0.01, capacity);
  key_table planned = input.table;
  for (const key_range& unowned : unowned_ranges) {
    std::uint32_t first = unowned.first;
    while (first <= unowned.last) {
      const key_range rest{static_cast<shard_key>(first), unowned.last};
      const endpoint_instance to = LeastUsed(input, loads);
      const double free_capacity =
          mean * input.owner_capacities.at(to) - loads.at(to);
      shard_key last =
          CutAfter(input.loads, rest, free_capacity).value_or(rest.first);
      // A remainder with little load doesn't become a range of its own.
      const key_range remainder{last, unowned.last};
      if (!MaySplit(input, planned) ||
          LoadOf(input.loads, remainder) < mean * kMinPieceShare) {
        last = unowned.last;
      }
      const key_range piece{rest.first, last};
      loads[to] += LoadOf(input.loads, piece);
      planned = planned.With(piece, to);
      moves.push_back({piece, to});
      first = std::uint32_t{last} + 1;
    }
  }
  return moves;
}

namespace {

// The loads, each limited to the capacity of the fastest endpoint: the requests
// of one key can't be divided, so no endpoint can serve more than that.
std::vector<shard_load> ServableLoads(const key_plan_input& input) {
  double max_slots = 0;
  for (const auto& [owner, slots] : input.owner_capacities) {
    max_slots = std::max(max_slots, slots);
  }
  std::vector<shard_load> loads = input.loads;
  for (shard_load& load : loads) {
    load.slots = std::min(load.slots, max_slots);
  }
  return loads;
}

// Moves each key that alone takes a large share of its owner's capacity to a
// faster endpoint, if there is one. The rebalancing that follows moves other
// keys away from these endpoints.
void PlaceBigKeys(key_plan_input& state, std::vector<planned_move>& moves) {
  std::set<endpoint_instance> assigned_endpoints;
  for (const shard_load& load : state.loads) {
    const key_assignment* assignment = state.table.Find(load.key);
    if (assignment == nullptr) {
      continue;
    }
    const auto owner = state.owner_capacities.find(assignment->owner);
    if (owner == state.owner_capacities.end() ||
        load.slots < kDominantKeyShare * owner->second) {
      continue;
    }
    auto fastest = owner;
    for (auto candidate = state.owner_capacities.begin();
         candidate != state.owner_capacities.end(); ++candidate) {
      if (!assigned_endpoints.contains(candidate->first) &&
          candidate->second > fastest->second) {
        fastest = candidate;
      }
    }
    assigned_endpoints.insert(fastest->first);
    const key_range range{load.key, load.key};
    const key_table placed = state.table.With(range, fastest->first);
    const bool exceeds_limit =
        placed.assignments().size() > state.table.assignments().size() &&
        placed.assignments().size() >
            state.owner_capacities.size() * kMaxRangesWithDominantKeys;
    if (exceeds_limit ||
        fastest->second < kMinCapacityGainFactor * owner->second ||
        Overlaps(assignment->range, state.moving)) {
      continue;
    }
    state.table = placed;
    state.moving.push_back(range);
    moves.push_back({range, fastest->first});
  }
}

}  // namespace

std::vector<planned_move> PlanRebalance(const key_plan_input& input) {
  std::vector<planned_move> moves;
  key_plan_input state = input;
  state.loads = ServableLoads(input);
  PlaceBigKeys(state, moves);
  owner_loads loads = LoadsOfOwners(state);
  double capacity = 0;
  for (const auto& [owner, slots] : state.owner_capacities) {
    capacity += slots;
  }
  const double mean = TotalOf(loads) / std::max(0.01, capacity);
  // Owners without a range or piece that could be moved.
  std::set<endpoint_instance> immovable;
  while (moves.size() < input.max_moves && state.owner_capacities.size() > 1) {
    const auto use_ratio = [&](const auto& owner) {
      return loads.at(owner.first) / std::max(0.01, owner.second);
    };
    auto busiest = state.owner_capacities.end();
    for (auto candidate = state.owner_capacities.begin();
         candidate != state.owner_capacities.end(); ++candidate) {
      if (!immovable.contains(candidate->first) &&
          (busiest == state.owner_capacities.end() ||
           use_ratio(*candidate) > use_ratio(*busiest))) {
        busiest = candidate;
      }
    }
    if (busiest == state.owner_capacities.end()) {
      break;
    }
    const double highest_use = use_ratio(*busiest);
    if (highest_use < mean * kRebalanceUseFactor ||
        highest_use < mean + kRebalanceMinExcessShare) {
      break;
    }
    const endpoint_instance to = LeastUsed(state, loads);
    const double excess = loads.at(busiest->first) - mean * busiest->second;
    const double free_capacity =
        mean * state.owner_capacities.at(to) - loads.at(to);
    const double target_load = std::min(excess, free_capacity);
    auto piece = target_load <= 0
                     ? std::nullopt
                     : BestPiece(state, busiest->first, target_load);
    if (!piece) {
      // A larger piece than an even load allows is still an improvement if the
      // new owner's use afterwards is lower than the former owner's use before.
      const double max_load =
          highest_use * kMaxUseAfterMoveRatio * state.owner_capacities.at(to) -
          loads.at(to);
      piece = max_load <= target_load
                  ? std::nullopt
                  : BestPiece(state, busiest->first, max_load);
    }
    if (!piece) {
      immovable.insert(busiest->first);
      continue;
    }
    const double load = LoadOf(state.loads, *piece);
    loads[busiest->first] -= load;
    loads[to] += load;
    state.table = state.table.With(*piece, to);
    state.moving.push_back(*piece);
    moves.push_back({*piece, to});
  }
  return moves;
}

}  // namespace bluebell
