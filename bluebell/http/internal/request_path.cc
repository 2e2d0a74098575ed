#include "bluebell/http/internal/request_path.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <string>

namespace bluebell {

namespace {

constexpr std::string_view kPrefix = "/v1/";
constexpr std::size_t kMaxServiceNameBytes = 64;
constexpr std::string_view kEncodedDot = "%2e";

error Invalid(std::string detail) {
  return {errc::kInvalidArgument, step::kParseRequest, "", std::move(detail)};
}

bool IsServiceCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsAllowedInTarget(char c) {
  return c > ' ' && c <= '~' && c != '#' && c != '\\';
}

// Removes a dot, plain or percent-encoded, from the front of `segment`. False
// if it doesn't begin with one.
bool RemoveLeadingDot(std::string_view& segment) {
  if (segment.starts_with('.')) {
    segment.remove_prefix(1);
    return true;
  }
  const std::string_view start = segment.substr(0, kEncodedDot.size());
  if (boost::beast::iequals({start.data(), start.size()},
                            {kEncodedDot.data(), kEncodedDot.size()})) {
    segment.remove_prefix(kEncodedDot.size());
    return true;
  }
  return false;
}

bool IsDotSegment(std::string_view segment) {
  return RemoveLeadingDot(segment) &&
         (segment.empty() || (RemoveLeadingDot(segment) && segment.empty()));
}

bool HasDotSegment(std::string_view path) {
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('/'), path.size());
    if (IsDotSegment(path.substr(0, end))) {
      return true;
    }
    path.remove_prefix(std::min(end + 1, path.size()));
  }
  return false;
}

}  // namespace

result<service_name> ServiceOfTarget(std::string_view target) {
  if (!target.starts_with(kPrefix)) {
    return Invalid("the path must have the form /v1/<service>/<path>");
  }
  if (!std::all_of(target.begin(), target.end(), IsAllowedInTarget)) {
    return Invalid("the path holds a character that isn't allowed there");
  }
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string_view rest = path.substr(kPrefix.size());
  const std::string_view name = rest.substr(0, rest.find('/'));
  if (name.empty() || name.size() > kMaxServiceNameBytes ||
      !std::all_of(name.begin(), name.end(), IsServiceCharacter)) {
    return Invalid("the path names no valid service after /v1/");
  }
  if (HasDotSegment(rest)) {
    return Invalid("the path holds a dot segment");
  }
  return service_name(std::string(name));
}

}  // namespace bluebell
