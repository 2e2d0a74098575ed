#include "testing/seed_range.h"

namespace bluebell {

seed_range seed_range::Parse(const std::string& text) {
  const std::size_t dots = text.find("..");
  const std::uint64_t first = std::stoull(text.substr(0, dots));
  return {first, dots == std::string::npos
                     ? first
                     : std::stoull(text.substr(dots + 2))};
}

}  // namespace bluebell
