#include "bluebell/gateway/former_coordinators.h"

#include <algorithm>

namespace bluebell {

namespace {

// Not the id of any daemon: an id has no spaces.
constexpr const char* kLostHistoryId = "lost history";

bool IsLostHistory(const coordinator_record& record) {
  return record.daemon.id.value() == kLostHistoryId;
}

}  // namespace

std::string_view ToText(exclusion_reason reason) {
  switch (reason) {
    case exclusion_reason::kYielded:
      return "it has yielded";
    case exclusion_reason::kProcessEnded:
      return "its process has ended";
    case exclusion_reason::kAuthorityEnded:
      return "its authority has ended";
    case exclusion_reason::kHistoryEnded:
      return "the grants of its coordinators have ended";
  }
  return "";
}

former_coordinators former_coordinators::FromHistory(
    const std::vector<coordinator_record>& history,
    store_version revision,
    const daemon_instance& self) {
  former_coordinators formers;
  for (const coordinator_record& record : history) {
    // An earlier run of this daemon has ended, since this process could bind
    // its address.
    if (record.daemon.id != self.id) {
      formers.pending_.push_back(
          {record.daemon,
           RevisionIn(record.announced_by) == 0
               ? VersionIn(EraOf(record.announced_by), RevisionIn(revision))
               : record.announced_by});
    }
  }
  return formers;
}

void former_coordinators::AddLostHistory(const store_era& era) {
  std::erase_if(pending_, IsLostHistory);
  pending_.push_back({{daemon_id(kLostHistoryId), incarnation(era.value())},
                      VersionIn(era, 0)});
}

bool former_coordinators::has_lost_history() const {
  return std::any_of(pending_.begin(), pending_.end(), IsLostHistory);
}

std::vector<coordinator_exclusion> former_coordinators::Advance(
    const announced_map& announced,
    instant now) {
  std::vector<coordinator_exclusion> exclusions;
  std::erase_if(pending_, [&](const coordinator_record& record) {
    const daemon_instance& daemon = record.daemon;
    if (IsLostHistory(record)) {
      if (history_until_ <= now) {
        exclusions.push_back({daemon, exclusion_reason::kHistoryEnded});
      }
      return history_until_ <= now;
    }
    const auto entry = announced.find(daemon.id);
    // An older copy of the store may show the entry of an earlier process.
    if (entry != announced.end() && entry->second.run != daemon.run &&
        EraOf(entry->second.revision) == EraOf(record.announced_by) &&
        entry->second.revision > record.announced_by) {
      exclusions.push_back({daemon, exclusion_reason::kProcessEnded});
      return true;
    }
    if (authority_until_ <= now) {
      exclusions.push_back({daemon, exclusion_reason::kAuthorityEnded});
      return true;
    }
    return false;
  });
  return exclusions;
}

std::optional<coordinator_exclusion> former_coordinators::OnYield(
    const daemon_instance& yielded) {
  const auto found = std::find_if(pending_.begin(), pending_.end(),
                                  [&](const coordinator_record& record) {
                                    return record.daemon == yielded;
                                  });
  if (found == pending_.end()) {
    return std::nullopt;
  }
  const coordinator_exclusion exclusion{yielded, exclusion_reason::kYielded};
  pending_.erase(found);
  return exclusion;
}

}  // namespace bluebell
