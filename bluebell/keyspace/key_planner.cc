#include "bluebell/keyspace/key_planner.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace bluebell {

namespace {

// Rebalancing starts when an owner's use of its slots exceeds the mean by this
// factor and this share of its slots.
constexpr double kMaxOverMean = 1.4;
constexpr double kLeastOverMean = 0.2;
// A move that takes less than this share of what should leave isn't worth it.
constexpr double kLeastPiece = 0.25;
// The new owner's use of its slots after a move, relative to the former one's.
constexpr double kLeastGain = 0.85;
// Each key counts a little, so that idle keys are divided evenly.
constexpr double kIdleKeyLoad = 1e-5;
// The table's ranges are renewed one by one, so their number is bounded.
constexpr std::size_t kMaxRangesPerOwner = 6;

// A key with more than this share of its owner's capacity is placed by itself.
constexpr double kBigKey = 0.6;
// How much faster an endpoint must be for a big key to move there.
constexpr double kFasterEndpoint = 1.2;

using owner_loads = std::map<endpoint_instance, double>;

double LoadOf(const std::vector<shard_load>& loads, const key_range& range) {
  const auto first = std::lower_bound(
      loads.begin(), loads.end(), range.first,
      [](const shard_load& load, shard_key key) { return load.key < key; });
  double sum = range.size() * kIdleKeyLoad;
  for (auto each = first; each != loads.end() && each->key <= range.last;
       ++each) {
    sum += each->slots;
  }
  return sum;
}

// The last key up to which the range's load stays within `wanted`; the whole
// range if it fits, nothing if its first key is too much.
std::optional<shard_key> CutAfter(const std::vector<shard_load>& loads,
                                  const key_range& range,
                                  double wanted) {
  double sum = 0;
  std::uint32_t next = range.first;
  auto load = std::lower_bound(
      loads.begin(), loads.end(), range.first,
      [](const shard_load& each, shard_key key) { return each.key < key; });
  while (next <= range.last) {
    // The idle keys before the next busy one.
    const std::uint32_t busy = load == loads.end() || load->key > range.last
                                   ? std::uint32_t{range.last} + 1
                                   : load->key;
    const double idle = (busy - next) * kIdleKeyLoad;
    if (sum + idle > wanted) {
      next += static_cast<std::uint32_t>((wanted - sum) / kIdleKeyLoad);
      break;
    }
    sum += idle;
    next = busy;
    if (next > range.last) {
      break;
    }
    if (sum + load->slots + kIdleKeyLoad > wanted) {
      break;
    }
    sum += load->slots + kIdleKeyLoad;
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
  for (const auto& [owner, capacity] : input.owners) {
    loads[owner] = 0;
  }
  for (const key_assignment& each : input.table.assignments()) {
    const auto owner = loads.find(each.owner);
    if (owner != loads.end()) {
      owner->second += LoadOf(input.loads, each.range);
    }
  }
  return loads;
}

double TotalOf(const owner_loads& loads) {
  double sum = 0;
  for (const auto& [owner, load] : loads) {
    sum += load;
  }
  return sum;
}

bool Overlaps(const key_range& range, const std::vector<key_range>& others) {
  return std::any_of(others.begin(), others.end(), [&](const key_range& each) {
    return each.Overlaps(range);
  });
}

// The owner with the least use of its slots, `load` added.
endpoint_instance LeastUsed(const key_plan_input& input,
                            const owner_loads& loads) {
  const auto use = [&](const auto& owner) {
    return loads.at(owner.first) / std::max(0.01, owner.second);
  };
  return std::min_element(
             input.owners.begin(), input.owners.end(),
             [&](const auto& a, const auto& b) { return use(a) < use(b); })
      ->first;
}

// A piece of one of the owner's ranges with a load of at most `wanted`, from
// either end of the range; the one with the most load.
std::optional<key_range> BestPiece(const key_plan_input& input,
                                   const endpoint_instance& owner,
                                   double wanted) {
  std::optional<key_range> best;
  double best_load = wanted * kLeastPiece;
  const bool may_split =
      input.table.assignments().size() <
      std::max<std::size_t>(1, input.owners.size()) * kMaxRangesPerOwner;
  const auto consider = [&](const key_range& piece) {
    const double load = LoadOf(input.loads, piece);
    if (load > best_load && load <= wanted) {
      best = piece;
      best_load = load;
    }
  };
  for (const key_assignment& each : input.table.assignments()) {
    if (each.owner != owner || Overlaps(each.range, input.moving)) {
      continue;
    }
    consider(each.range);
    if (!may_split) {
      continue;
    }
    const auto cut = CutAfter(input.loads, each.range, wanted);
    if (cut && *cut < each.range.last) {
      consider({each.range.first, *cut});
    }
    // From the other end: all but what exceeds `wanted`.
    const double rest = LoadOf(input.loads, each.range) - wanted;
    const auto keep = CutAfter(input.loads, each.range, rest);
    std::uint32_t first = keep ? std::uint32_t{*keep} + 1 : each.range.first;
    // The key at the cut may be too much by itself; then begin after it.
    for (int step = 0; step < 2 && first <= each.range.last; ++step, ++first) {
      consider({static_cast<shard_key>(first), each.range.last});
    }
  }
  return best;
}

}  // namespace

std::vector<planned_move> PlanOrphans(const key_plan_input& input,
                                      const std::vector<key_range>& orphans) {
  std::vector<planned_move> moves;
  if (input.owners.empty()) {
    return moves;
  }
  owner_loads loads = LoadsOfOwners(input);
  double orphaned = 0;
  double capacity = 0;
  for (const key_range& range : orphans) {
    orphaned += LoadOf(input.loads, range);
  }
  for (const auto& [owner, slots] : input.owners) {
    capacity += slots;
  }
  const double mean = (TotalOf(loads) + orphaned) / std::max(0.01, capacity);
  for (const key_range& orphan : orphans) {
    std::uint32_t first = orphan.first;
    while (first <= orphan.last) {
      const key_range rest{static_cast<shard_key>(first), orphan.last};
      const endpoint_instance to = LeastUsed(input, loads);
      const double room = mean * input.owners.at(to) - loads.at(to);
      shard_key last = CutAfter(input.loads, rest, room).value_or(rest.first);
      // What is left isn't worth a range of its own.
      const key_range left{last, orphan.last};
      if (LoadOf(input.loads, left) < mean * kLeastPiece) {
        last = orphan.last;
      }
      const key_range piece{rest.first, last};
      loads[to] += LoadOf(input.loads, piece);
      moves.push_back({piece, to});
      first = std::uint32_t{last} + 1;
    }
  }
  return moves;
}

namespace {

// A single key's requests can't be divided, so what exceeds the fastest
// endpoint counts for nobody.
std::vector<shard_load> ServableLoads(const key_plan_input& input) {
  double most = 0;
  for (const auto& [owner, slots] : input.owners) {
    most = std::max(most, slots);
  }
  std::vector<shard_load> loads = input.loads;
  for (shard_load& each : loads) {
    each.slots = std::min(each.slots, most);
  }
  return loads;
}

// Moves keys that alone fill a good part of an endpoint to the fastest ones.
// Others leave those endpoints afterwards, like any that are too busy.
void PlaceBigKeys(key_plan_input& state, std::vector<planned_move>& moves) {
  std::set<endpoint_instance> taken;
  for (const shard_load& each : state.loads) {
    const key_assignment* assignment = state.table.Find(each.key);
    if (assignment == nullptr) {
      continue;
    }
    const auto owner = state.owners.find(assignment->owner);
    if (owner == state.owners.end() || each.slots < kBigKey * owner->second) {
      continue;
    }
    auto fastest = owner;
    for (auto other = state.owners.begin(); other != state.owners.end();
         ++other) {
      if (!taken.contains(other->first) && other->second > fastest->second) {
        fastest = other;
      }
    }
    taken.insert(fastest->first);
    const key_range range{each.key, each.key};
    if (fastest->second < kFasterEndpoint * owner->second ||
        Overlaps(assignment->range, state.moving)) {
      continue;
    }
    state.table = state.table.With(range, fastest->first);
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
  for (const auto& [owner, slots] : state.owners) {
    capacity += slots;
  }
  const double mean = TotalOf(loads) / std::max(0.01, capacity);
  // Owners that can't give away a piece of the right size.
  std::set<endpoint_instance> stuck;
  while (moves.size() < input.max_moves && state.owners.size() > 1) {
    const auto use = [&](const auto& owner) {
      return loads.at(owner.first) / std::max(0.01, owner.second);
    };
    auto busiest = state.owners.end();
    for (auto each = state.owners.begin(); each != state.owners.end(); ++each) {
      if (!stuck.contains(each->first) &&
          (busiest == state.owners.end() || use(*each) > use(*busiest))) {
        busiest = each;
      }
    }
    if (busiest == state.owners.end()) {
      break;
    }
    const double highest = use(*busiest);
    if (highest < mean * kMaxOverMean || highest < mean + kLeastOverMean) {
      break;
    }
    const endpoint_instance to = LeastUsed(state, loads);
    const double excess = loads.at(busiest->first) - mean * busiest->second;
    const double room = mean * state.owners.at(to) - loads.at(to);
    const double wanted = std::min(excess, room);
    auto piece =
        wanted <= 0 ? std::nullopt : BestPiece(state, busiest->first, wanted);
    if (!piece) {
      // A piece that is too big for an even load still helps if its new owner
      // ends up less busy than the former one was.
      const double most =
          highest * kLeastGain * state.owners.at(to) - loads.at(to);
      piece = most <= wanted ? std::nullopt
                             : BestPiece(state, busiest->first, most);
    }
    if (!piece) {
      stuck.insert(busiest->first);
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
