#include "bluebell/http/embedded_status_line.h"

#include <algorithm>
#include <cstddef>
#include <string_view>

namespace bluebell {

namespace {

constexpr std::string_view kVersionStart = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

std::string_view ToStringView(boost::string_view text) {
  return {text.data(), text.size()};
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

// True for "HTTP/1.x NNN", alone or before a space.
bool StartsWithStatusLine(std::string_view text) {
  constexpr std::size_t kMinorVersion = kVersionStart.size();
  constexpr std::size_t kSpace = kMinorVersion + 1;
  constexpr std::size_t kStatus = kSpace + 1;
  constexpr std::size_t kEnd = kStatus + kStatusDigits;
  if (text.size() < kEnd || !text.starts_with(kVersionStart)) {
    return false;
  }
  const std::string_view status = text.substr(kStatus, kStatusDigits);
  return IsDigit(text[kMinorVersion]) && text[kSpace] == ' ' &&
         std::all_of(status.begin(), status.end(), IsDigit) &&
         (text.size() == kEnd || text[kEnd] == ' ');
}

bool HoldsStatusLine(std::string_view text) {
  for (std::size_t at = text.find(kVersionStart); at != std::string_view::npos;
       at = text.find(kVersionStart, at + 1)) {
    if (StartsWithStatusLine(text.substr(at))) {
      return true;
    }
  }
  return false;
}

}  // namespace

bool HasEmbeddedStatusLine(const http_response& response) {
  return HoldsStatusLine(ToStringView(response.reason())) ||
         std::any_of(response.begin(), response.end(), [](const auto& field) {
           return HoldsStatusLine(ToStringView(field.value()));
         });
}

}  // namespace bluebell
