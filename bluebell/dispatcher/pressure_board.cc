#include "bluebell/dispatcher/pressure_board.h"

#include <algorithm>

namespace bluebell {

void pressure_board::Update(const pressure_update& update, instant now) {
  entries_[update.endpoint] = entry{update.pressure, now, 0};
}

void pressure_board::CountSent(const endpoint_instance& instance) {
  const auto found = entries_.find(instance);
  if (found != entries_.end()) {
    ++found->second.sent_since;
  }
}

duration pressure_board::ExpectedWait(const endpoint_instance& instance,
                                      rank priority,
                                      instant now) const {
  const auto found = entries_.find(instance);
  if (found == entries_.end() || now - found->second.at > kUsableAge) {
    return duration(0);
  }
  const entry& known = found->second;
  const std::uint32_t slots = std::max(1U, known.pressure.slots);
  const duration added = known.pressure.service_time * known.sent_since / slots;
  return known.pressure.expected_wait.at(RankIndex(priority)) + added;
}

void pressure_board::Trim(instant now) {
  std::erase_if(entries_, [now](const auto& known) {
    return now - known.second.at > kUsableAge;
  });
}

}  // namespace bluebell
