#include "bluebell/fleet/domain_evacuations.h"

#include <algorithm>

namespace bluebell {

bool domain_evacuations::Begin(const domain_name& domain) {
  ends_.erase(domain);
  return domains_.insert(domain).second;
}

bool domain_evacuations::End(const domain_name& domain) {
  ends_.erase(domain);
  return domains_.erase(domain) > 0;
}

void domain_evacuations::EndAt(const domain_name& domain, instant time) {
  if (domains_.contains(domain)) {
    ends_.insert_or_assign(domain, time);
  }
}

std::vector<domain_name> domain_evacuations::TakeEnded(instant now) {
  std::vector<domain_name> ended;
  for (const auto& [domain, end] : ends_) {
    if (end <= now) {
      ended.push_back(domain);
    }
  }
  for (const domain_name& domain : ended) {
    End(domain);
  }
  return ended;
}

std::optional<instant> domain_evacuations::NextEnd() const {
  std::optional<instant> next;
  for (const auto& [domain, end] : ends_) {
    next = next ? std::min(*next, end) : end;
  }
  return next;
}

}  // namespace bluebell
