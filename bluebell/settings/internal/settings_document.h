// Parses the JSON document of a settings file.

#ifndef BLUEBELL_SETTINGS_INTERNAL_SETTINGS_DOCUMENT_H_
#define BLUEBELL_SETTINGS_INTERNAL_SETTINGS_DOCUMENT_H_

#include <string_view>
#include <variant>

#include <boost/json/value.hpp>

#include "bluebell/settings/settings_problem.h"

namespace bluebell::internal {

// Parses JSON with comments. Returns the root object, or the problem with its
// line and column if the text is not a JSON object.
std::variant<boost::json::value, settings_problem> ParseSettingsDocument(
    std::string_view text);

}  // namespace bluebell::internal

#endif  // BLUEBELL_SETTINGS_INTERNAL_SETTINGS_DOCUMENT_H_
