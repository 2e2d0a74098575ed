#include "bluebell/http/message_framing.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include "bluebell/http/response_status.h"

namespace bluebell {

namespace {

namespace bhttp = boost::beast::http;

constexpr unsigned kHttp11 = 11;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr std::string_view kBlanks = " \t";

std::string_view Trimmed(std::string_view text) {
  const std::size_t begin = text.find_first_not_of(kBlanks);
  return begin == std::string_view::npos
             ? std::string_view()
             : text.substr(begin, text.find_last_not_of(kBlanks) - begin + 1);
}

bool IsChunked(std::string_view coding) {
  return boost::beast::iequals({coding.data(), coding.size()}, "chunked");
}

// True for "chunked" with or without parameters.
bool IsNamedChunked(std::string_view coding) {
  return IsChunked(Trimmed(coding.substr(0, coding.find(';'))));
}

// The codings of all lines in their order, with empty ones.
std::vector<std::string_view> TransferCodings(const bhttp::fields& fields) {
  std::vector<std::string_view> codings;
  const auto lines = fields.equal_range(bhttp::field::transfer_encoding);
  for (auto line = lines.first; line != lines.second; ++line) {
    std::string_view rest(line->value().data(), line->value().size());
    std::size_t comma = rest.find(',');
    while (comma != std::string_view::npos) {
      codings.push_back(Trimmed(rest.substr(0, comma)));
      rest.remove_prefix(comma + 1);
      comma = rest.find(',');
    }
    codings.push_back(Trimmed(rest));
  }
  return codings;
}

// HTTP parsers accept a list of equal lengths in one line.
bool HasOneLength(const bhttp::fields& fields) {
  const auto value = fields[bhttp::field::content_length];
  return fields.count(bhttp::field::content_length) == 1 &&
         std::all_of(value.begin(), value.end(),
                     [](char c) { return c >= '0' && c <= '9'; });
}

}  // namespace

message_framing FramingOf(const bhttp::fields& fields, unsigned version) {
  const bool has_length = fields.count(bhttp::field::content_length) > 0;
  const std::vector<std::string_view> codings = TransferCodings(fields);
  if (codings.empty()) {
    return !has_length || HasOneLength(fields) ? message_framing::kClear
                                               : message_framing::kAmbiguous;
  }
  const bool chunked_last_only =
      IsChunked(codings.back()) &&
      std::count_if(codings.begin(), codings.end(), IsNamedChunked) == 1 &&
      std::count(codings.begin(), codings.end(), std::string_view()) == 0;
  if (version < kHttp11 || has_length || !chunked_last_only) {
    return message_framing::kAmbiguous;
  }
  return codings.size() == 1 ? message_framing::kClear
                             : message_framing::kUnknownCoding;
}

message_framing FramingOf(const bhttp::request_header<>& head) {
  return FramingOf(head, head.version());
}

message_framing FramingOf(const bhttp::response_header<>& head) {
  // A response with status 304 may state the length of what isn't sent.
  const unsigned status = head.result_int();
  const bool excludes_body = status < kFirstFinalStatus || status == kNoContent;
  const bool states_body = head.count(bhttp::field::transfer_encoding) > 0 ||
                           (head.count(bhttp::field::content_length) > 0 &&
                            head[bhttp::field::content_length] != "0");
  if (!IsPossibleStatus(status)) {
    return message_framing::kImpossibleStatus;
  }
  return excludes_body && states_body ? message_framing::kAmbiguous
                                      : FramingOf(head, head.version());
}

}  // namespace bluebell
