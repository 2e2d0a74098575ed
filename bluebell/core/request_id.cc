#include "bluebell/core/request_id.h"

#include <charconv>

namespace bluebell {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::uint64_t kVersion = 7;
constexpr std::uint64_t kVariant = 2;
constexpr unsigned kVersionShift = 12;
constexpr unsigned kVariantShift = 62;
constexpr unsigned kTimeShift = 16;
constexpr std::uint64_t kRandomHighMask = 0xFFF;
constexpr std::uint64_t kRandomLowMask = (1ULL << kVariantShift) - 1;

bool IsDashPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

bool ParseHex(std::string_view digits, std::uint64_t& value) {
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, value, 16);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

request_id::request_id(std::uint64_t high, std::uint64_t low)
    : high_(high), low_(low) {}

result<request_id> request_id::Parse(std::string_view text) {
  const error invalid(errc::kInvalidArgument, step::kParseRequest, "",
                      "request id is not a UUID of version 7");
  if (text.size() != kTextLength) {
    return invalid;
  }
  std::string digits;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (IsDashPosition(i) != (text[i] == '-')) {
      return invalid;
    }
    if (text[i] != '-') {
      digits += text[i];
    }
  }
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  const std::string_view view(digits);
  if (!ParseHex(view.substr(0, 16), high) || !ParseHex(view.substr(16), low)) {
    return invalid;
  }
  const bool has_version = ((high >> kVersionShift) & 0xF) == kVersion;
  const bool has_variant = (low >> kVariantShift) == kVariant;
  if (!has_version || !has_variant) {
    return invalid;
  }
  return request_id(high, low);
}

request_id request_id::Make(wall_instant issued_at,
                            std::array<std::uint64_t, 2> random) {
  const auto since_epoch =
      std::chrono::duration_cast<milliseconds>(issued_at.time_since_epoch());
  const auto time = static_cast<std::uint64_t>(since_epoch.count());
  const std::uint64_t high = (time << kTimeShift) |
                             (kVersion << kVersionShift) |
                             (random[0] & kRandomHighMask);
  const std::uint64_t low =
      (kVariant << kVariantShift) | (random[1] & kRandomLowMask);
  return {high, low};
}

wall_instant request_id::issued_at() const {
  return wall_instant(milliseconds(high_ >> kTimeShift));
}

std::string request_id::ToString() const {
  // Doesn't use snprintf, which was among the most expensive calls on the
  // request path: the id of each request is formatted several times.
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text(kTextLength, '-');
  unsigned shift = 64;
  std::uint64_t half = high_;
  for (std::size_t i = 0; i < kTextLength; ++i) {
    if (IsDashPosition(i)) {
      continue;
    }
    if (shift == 0) {
      shift = 64;
      half = low_;
    }
    shift -= 4;
    text[i] = kDigits[(half >> shift) & 0xF];
  }
  return text;
}

std::ostream& operator<<(std::ostream& out, const request_id& v) {
  return out << v.ToString();
}

}  // namespace bluebell

std::size_t std::hash<bluebell::request_id>::operator()(
    const bluebell::request_id& v) const noexcept {
  return std::hash<std::uint64_t>()(v.low() ^ (v.high() << 1));
}
