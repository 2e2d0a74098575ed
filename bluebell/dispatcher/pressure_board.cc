#include "bluebell/dispatcher/pressure_board.h"

#include <algorithm>

namespace bluebell {

void pressure_board::Update(const pressure_update& update, instant now) {
  entries_[update.endpoint] = entry{update.pressure, now, 0};
}

void pressure_board::CountSent(const endpoint_instance& instance) {
  const auto found = entries_.find(instance);
  if (found != entries_.end()) {
    ++found->second.sent_since_report;
  }
}

duration pressure_board::ExpectedWait(const endpoint_instance& instance,
                                      rank priority,
                                      instant now) const {
  const auto found = entries_.find(instance);
  if (found == entries_.end() || now - found->second.at > kMaxReportAge) {
    return duration(0);
  }
  const entry& report = found->second;
  const std::uint32_t slots = std::max(1U, report.pressure.slots);
  const duration added_wait =
      report.pressure.service_time * report.sent_since_report / slots;
  return report.pressure.expected_wait.at(RankIndex(priority)) + added_wait;
}

void pressure_board::RemoveOutdated(instant now) {
  std::erase_if(entries_, [now](const auto& endpoint_report) {
    return now - endpoint_report.second.at > kMaxReportAge;
  });
}

}  // namespace bluebell
