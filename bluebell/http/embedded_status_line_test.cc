#include "bluebell/http/embedded_status_line.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

http_response WithReason(const char* reason) {
  http_response response;
  response.reason(reason);
  return response;
}

http_response WithField(const char* value) {
  http_response response;
  response.set("Server", value);
  return response;
}

// Guards against a response that continues a part of another one and is taken
// for a single response.
TEST_CASE("a status line within a response's head is recognized") {
  CHECK(HasEmbeddedStatusLine(WithReason("ServHTTP/1.1 200 OK")));
  CHECK(HasEmbeddedStatusLine(WithReason("HTTP/1.0 200")));
  CHECK(HasEmbeddedStatusLine(WithField("HTTP/1.1 500 Failed")));
  CHECK(HasEmbeddedStatusLine(WithField("HTTP/1.1 i-HTTP/1.1 503 Busy")));
}

// Guards against sound responses that are dropped.
TEST_CASE("a head that only names a protocol version has no status line") {
  CHECK_FALSE(HasEmbeddedStatusLine(WithReason("OK")));
  CHECK_FALSE(HasEmbeddedStatusLine(WithField("HTTP/1.1 proxy")));
  CHECK_FALSE(HasEmbeddedStatusLine(WithField("HTTP/1.1 2000")));
  CHECK_FALSE(HasEmbeddedStatusLine(WithField("HTTP/1.1")));
  CHECK_FALSE(HasEmbeddedStatusLine(WithField("HTTP/2.0 200 OK")));
}

}  // namespace
}  // namespace bluebell
