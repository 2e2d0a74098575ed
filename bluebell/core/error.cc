#include "bluebell/core/error.h"

#include <array>
#include <cstddef>
#include <utility>

namespace bluebell {

namespace {

class bluebell_category : public std::error_category {
 public:
  const char* name() const noexcept override { return "bluebell"; }

  std::string message(int value) const override {
    switch (static_cast<errc>(value)) {
      case errc::kInvalidArgument:
        return "invalid argument";
      case errc::kNotFound:
        return "not found";
      case errc::kConflict:
        return "conflict";
      case errc::kTimeout:
        return "timeout";
      case errc::kUnavailable:
        return "unavailable";
      case errc::kConnectionLost:
        return "connection lost";
      case errc::kMalformedMessage:
        return "malformed message";
      case errc::kUnsupportedVersion:
        return "unsupported version";
      case errc::kTooLarge:
        return "too large";
      case errc::kRefused:
        return "refused";
      case errc::kNotOwner:
        return "not the owner";
      case errc::kInternal:
        return "internal error";
    }
    return "unknown error";
  }
};

// In the order of `step`.
constexpr auto kStepNames = std::to_array<std::string_view>({
    "parse_address", "parse_settings", "parse_config",    "parse_table",
    "parse_request", "decode_message", "listen",          "connect",
    "read_store",    "write_store",    "watch_store",     "read_hosts",
    "grant_lease",   "probe_endpoint", "forward_request", "send_order",
    "read_reply",    "query_request",  "fetch_state",     "route",
    "change_config", "plan_move",      "shut_down",
});

}  // namespace

const std::error_category& error_category() {
  static const bluebell_category category;
  return category;
}

std::error_code make_error_code(errc code) {
  return {static_cast<int>(code), error_category()};
}

std::string_view ToString(step value) {
  return kStepNames.at(static_cast<std::size_t>(value));
}

error::error(std::error_code code,
             step at,
             std::string peer,
             std::string detail)
    : code_(code),
      step_(at),
      peer_(std::move(peer)),
      detail_(std::move(detail)) {}

error::error(errc code, step at, std::string peer, std::string detail)
    : error(make_error_code(code), at, std::move(peer), std::move(detail)) {}

std::string error::ToString() const {
  std::string text(bluebell::ToString(step_));
  if (!peer_.empty()) {
    text += ' ' + peer_;
  }
  text += ": " + code_.message();
  if (!detail_.empty()) {
    text += " (" + detail_ + ')';
  }
  return text;
}

std::ostream& operator<<(std::ostream& out, const error& v) {
  return out << v.ToString();
}

}  // namespace bluebell
