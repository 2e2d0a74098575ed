#include "bluebell/http/message_framing.h"

#include <string>
#include <vector>

#include <boost/beast/http/field.hpp>
#include <catch2/catch.hpp>

namespace bluebell {
namespace {

namespace bhttp = boost::beast::http;

constexpr unsigned kHttp10 = 10;
constexpr unsigned kHttp11 = 11;

struct framing_case {
  std::vector<std::string> codings;
  std::vector<std::string> lengths;
  unsigned version;
  message_framing expected;
};

// Guards against a body that is read as a request or response of its own.
TEST_CASE("only bodies with one possible end are clear") {
  using enum message_framing;
  const std::vector<framing_case> cases{
      {{}, {}, kHttp11, kClear},
      {{}, {}, kHttp10, kClear},
      {{}, {"5"}, kHttp11, kClear},
      {{}, {"5"}, kHttp10, kClear},
      {{}, {"5", "5"}, kHttp11, kAmbiguous},
      {{}, {"5", "6"}, kHttp11, kAmbiguous},
      {{}, {"5, 5"}, kHttp11, kAmbiguous},
      {{}, {"5,5"}, kHttp11, kAmbiguous},
      {{"chunked"}, {}, kHttp11, kClear},
      {{"Chunked"}, {}, kHttp11, kClear},
      {{" chunked\t"}, {}, kHttp11, kClear},
      {{"chunked"}, {}, kHttp10, kAmbiguous},
      {{"chunked"}, {"5"}, kHttp11, kAmbiguous},
      {{"identity"}, {}, kHttp11, kAmbiguous},
      {{"gzip"}, {}, kHttp11, kAmbiguous},
      {{""}, {}, kHttp11, kAmbiguous},
      {{"xchunked"}, {}, kHttp11, kAmbiguous},
      {{"chunked;q=1"}, {}, kHttp11, kAmbiguous},
      {{"chunked, identity"}, {}, kHttp11, kAmbiguous},
      {{"chunked", "identity"}, {}, kHttp11, kAmbiguous},
      {{"chunked,"}, {}, kHttp11, kAmbiguous},
      {{"chunked, chunked"}, {}, kHttp11, kAmbiguous},
      {{"chunked", "chunked"}, {}, kHttp11, kAmbiguous},
      {{", chunked"}, {}, kHttp11, kAmbiguous},
      {{"", "chunked"}, {}, kHttp11, kAmbiguous},
      {{"chunked;q=1, chunked"}, {}, kHttp11, kAmbiguous},
      {{"Chunked ;q=1, chunked"}, {}, kHttp11, kAmbiguous},
      {{"gzip, chunked"}, {}, kHttp11, kUnknownCoding},
      {{"gzip;q=1, chunked"}, {}, kHttp11, kUnknownCoding},
      {{"gzip", "chunked"}, {}, kHttp11, kUnknownCoding},
      {{"gzip, chunked"}, {"5"}, kHttp11, kAmbiguous},
  };
  for (const framing_case& each : cases) {
    bhttp::fields fields;
    for (const std::string& coding : each.codings) {
      fields.insert(bhttp::field::transfer_encoding, coding);
    }
    for (const std::string& length : each.lengths) {
      fields.insert(bhttp::field::content_length, length);
    }
    CAPTURE(each.codings, each.lengths, each.version);
    CHECK(FramingOf(fields, each.version) == each.expected);
  }
}

}  // namespace
}  // namespace bluebell
