#include "bluebell/ownership/table_peers.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>

namespace bluebell {

namespace {

// The oldest acknowledgements of a peer are dropped beyond this number.
constexpr std::size_t kMaxAcknowledgements = 256;

}  // namespace

void table_peers::Record(const daemon_instance& peer,
                         table_version version,
                         instant received_at,
                         std::optional<instant> pinged_at) {
  peer_record& known = records_[peer];
  // A lower version comes from an older message that arrived late: a peer never
  // returns to a lower version.
  if (version < known.version) {
    return;
  }
  if (known.acknowledged.empty() || version > known.version) {
    known.acknowledged.emplace_back(version, received_at);
    known.pinged_at = pinged_at;
  } else if (!known.pinged_at || (pinged_at && *pinged_at > *known.pinged_at)) {
    known.pinged_at = pinged_at;
  }
  known.version = version;
  if (known.acknowledged.size() > kMaxAcknowledgements) {
    known.acknowledged.erase(known.acknowledged.begin());
  }
}

std::optional<instant> table_peers::AcknowledgedAt(
    const daemon_instance& peer,
    table_version version) const {
  std::optional<instant> earliest = ReportedAt(peer, version);
  const auto later = records_.upper_bound(peer);
  if (later != records_.end() && later->first.id == peer.id) {
    const instant ended_by = later->second.acknowledged.front().second;
    earliest = std::min(earliest.value_or(ended_by), ended_by);
  }
  return earliest;
}

std::optional<instant> table_peers::ReportedAt(const daemon_instance& peer,
                                               table_version version) const {
  const auto found = records_.find(peer);
  if (found == records_.end()) {
    return std::nullopt;
  }
  const auto& acknowledged = found->second.acknowledged;
  const auto first =
      std::find_if(acknowledged.begin(), acknowledged.end(),
                   [&](const auto& entry) { return entry.first >= version; });
  if (first == acknowledged.end()) {
    return std::nullopt;
  }
  return first->second;
}

std::optional<instant> table_peers::SupportedAt(const daemon_instance& peer,
                                                table_version version) const {
  const auto found = records_.find(peer);
  if (found == records_.end() || found->second.version > version) {
    return std::nullopt;
  }
  return found->second.pinged_at;
}

void table_peers::Retire(const daemon_instance& peer, instant received_at) {
  constexpr auto kEveryVersion = std::numeric_limits<std::uint64_t>::max();
  Record(peer, table_version(kEveryVersion), received_at, std::nullopt);
}

}  // namespace bluebell
