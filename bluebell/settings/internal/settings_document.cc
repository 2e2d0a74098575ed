#include "bluebell/settings/internal/settings_document.h"

#include <algorithm>
#include <string>

#include <boost/json/parser.hpp>

namespace bluebell::internal {

namespace {

settings_problem SyntaxProblem(std::string_view text,
                               std::size_t position,
                               const std::string& message) {
  const std::string_view text_before = text.substr(0, position);
  const auto line =
      std::count(text_before.begin(), text_before.end(), '\n') + 1;
  const std::size_t line_start = text_before.rfind('\n') + 1;  // npos + 1 is 0.
  const std::string_view from_line_start = text.substr(line_start);
  return {"line " + std::to_string(line) + ", column " +
              std::to_string(position - line_start + 1),
          std::string(from_line_start.substr(0, from_line_start.find('\n'))),
          "JSON with comments (" + message + ")"};
}

}  // namespace

std::variant<boost::json::value, settings_problem> ParseSettingsDocument(
    std::string_view text) {
  boost::json::parse_options options;
  options.allow_comments = true;
  boost::json::parser parser(boost::json::storage_ptr(), options);
  boost::json::error_code failure;
  const std::size_t parsed_bytes = parser.write(text, failure);
  if (failure) {
    return SyntaxProblem(text, parsed_bytes, failure.message());
  }
  boost::json::value root = parser.release();
  if (!root.is_object()) {
    return SyntaxProblem(text, 0, "the file is one object");
  }
  return root;
}

}  // namespace bluebell::internal
