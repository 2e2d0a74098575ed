// Finds names that occur more than once in one JSON object. The JSON parser
// keeps only the last occurrence, so an operator would not notice that the
// others have no effect.

#ifndef BLUEBELL_SETTINGS_INTERNAL_DUPLICATE_NAMES_H_
#define BLUEBELL_SETTINGS_INTERNAL_DUPLICATE_NAMES_H_

#include <string>
#include <string_view>
#include <vector>

namespace bluebell::internal {

// Returns the path of each repeated occurrence, for example
// "services[2].slots". `text` must be valid JSON with comments.
std::vector<std::string> FindDuplicateNames(std::string_view text);

}  // namespace bluebell::internal

#endif  // BLUEBELL_SETTINGS_INTERNAL_DUPLICATE_NAMES_H_
