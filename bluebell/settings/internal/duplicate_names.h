// Names that occur twice in one JSON object. The parser keeps the last one, so
// an operator would not notice that the first has no effect.

#ifndef BLUEBELL_SETTINGS_INTERNAL_DUPLICATE_NAMES_H_
#define BLUEBELL_SETTINGS_INTERNAL_DUPLICATE_NAMES_H_

#include <string>
#include <string_view>
#include <vector>

namespace bluebell::internal {

// The paths of the second occurrences, for example "services[2].slots". `text`
// must be valid JSON with comments.
std::vector<std::string> FindDuplicateNames(std::string_view text);

}  // namespace bluebell::internal

#endif  // BLUEBELL_SETTINGS_INTERNAL_DUPLICATE_NAMES_H_
