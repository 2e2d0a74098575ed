#include "bluebell/placement/slice_range.h"

#include <iomanip>

namespace bluebell {

double slice_range::HashSpaceShare() const {
  const auto width = static_cast<double>(last - first) + 1.0;
  return width / (static_cast<double>(kLastHash) + 1.0);
}

std::ostream& operator<<(std::ostream& out, const slice_range& v) {
  const std::ios_base::fmtflags flags = out.flags();
  const char fill = out.fill('0');
  out << std::hex << std::setw(16) << v.first;
  out.fill(fill);
  out.flags(flags);
  return out;
}

std::vector<slice_range> DivideHashSpace(std::uint32_t count) {
  const key_hash width = kLastHash / count;
  std::vector<slice_range> ranges;
  ranges.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    const key_hash first = width * i + (i == 0 ? 0 : 1);
    const key_hash last = i + 1 == count ? kLastHash : width * (i + 1);
    ranges.push_back({first, last});
  }
  return ranges;
}

}  // namespace bluebell
