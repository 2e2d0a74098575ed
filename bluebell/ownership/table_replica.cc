#include "bluebell/ownership/table_replica.h"

#include <algorithm>
#include <cstddef>

namespace bluebell {

namespace {

// Older adoptions are dropped. For a version before the recorded ones AdoptedAt
// then returns a later time, so moves that began there wait longer.
constexpr std::size_t kMaxAdoptions = 256;

}  // namespace

table_replica::table_replica(placement_table initial)
    : table_(std::move(initial)) {}

adoption table_replica::Adopt(const placement_table& table, instant now) {
  if (table.version() < table_.version()) {
    return adoption::kOlder;
  }
  if (table.version() == table_.version()) {
    return table == table_ ? adoption::kAlreadyKnown : adoption::kForked;
  }
  table_ = table;
  proven_at_.reset();
  ObserveVersion(table.version());
  adoptions_.emplace_back(table.version(), now);
  if (adoptions_.size() > kMaxAdoptions) {
    adoptions_.erase(adoptions_.begin());
  }
  return adoption::kAdopted;
}

void table_replica::RecordProof(table_version version, instant at) {
  if (version == table_.version() && (!proven_at_ || *proven_at_ < at)) {
    proven_at_ = at;
  }
}

void table_replica::ObserveVersion(table_version version) {
  highest_observed_ = std::max(highest_observed_, version);
}

std::optional<instant> table_replica::AdoptedAt(table_version version) const {
  const auto found =
      std::find_if(adoptions_.begin(), adoptions_.end(),
                   [&](const auto& entry) { return entry.first >= version; });
  if (found == adoptions_.end()) {
    return std::nullopt;
  }
  return found->second;
}

}  // namespace bluebell
