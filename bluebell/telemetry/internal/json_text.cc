#include "bluebell/telemetry/internal/json_text.h"

#include <cstddef>
#include <cstdint>

namespace bluebell::internal {

namespace {

constexpr std::string_view kReplacementCharacter = "\xEF\xBF\xBD";

std::uint8_t ByteAt(std::string_view text, std::size_t position) {
  return static_cast<std::uint8_t>(text[position]);
}

// True if `second` may follow `lead` in valid UTF-8. Overlong forms, surrogates
// and code points above U+10FFFF are excluded.
bool IsSecondByte(std::uint8_t lead, std::uint8_t second) {
  switch (lead) {
    case 0xE0:
      return second >= 0xA0 && second <= 0xBF;
    case 0xED:
      return second >= 0x80 && second <= 0x9F;
    case 0xF0:
      return second >= 0x90 && second <= 0xBF;
    case 0xF4:
      return second >= 0x80 && second <= 0x8F;
    default:
      return second >= 0x80 && second <= 0xBF;
  }
}

// Zero if `lead` doesn't start a multi-byte sequence.
std::size_t LengthFromLead(std::uint8_t lead) {
  if (lead >= 0xC2 && lead <= 0xDF) {
    return 2;
  }
  if (lead >= 0xE0 && lead <= 0xEF) {
    return 3;
  }
  if (lead >= 0xF0 && lead <= 0xF4) {
    return 4;
  }
  return 0;
}

// The length in bytes of the valid multi-byte sequence at `position`; zero if
// there is none.
std::size_t SequenceLength(std::string_view text, std::size_t position) {
  const std::uint8_t lead = ByteAt(text, position);
  const std::size_t length = LengthFromLead(lead);
  if (length == 0 || text.size() - position < length ||
      !IsSecondByte(lead, ByteAt(text, position + 1))) {
    return 0;
  }
  for (std::size_t i = 2; i < length; ++i) {
    if ((ByteAt(text, position + i) & 0xC0) != 0x80) {
      return 0;
    }
  }
  return length;
}

void AppendAscii(std::string& out, char c) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  switch (c) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\r':
      out += "\\r";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      break;
  }
  const auto byte = static_cast<std::uint8_t>(c);
  if (byte >= 0x20 && byte != 0x7F) {
    out += c;
    return;
  }
  out += "\\u00";
  out += kHexDigits[byte >> 4U];
  out += kHexDigits[byte & 0xFU];
}

}  // namespace

void AppendJsonString(std::string& out, std::string_view text) {
  out += '"';
  std::size_t position = 0;
  while (position < text.size()) {
    if (ByteAt(text, position) < 0x80) {
      AppendAscii(out, text[position]);
      ++position;
      continue;
    }
    const std::size_t length = SequenceLength(text, position);
    if (length == 0) {
      out += kReplacementCharacter;
      ++position;
      continue;
    }
    out += text.substr(position, length);
    position += length;
  }
  out += '"';
}

}  // namespace bluebell::internal
