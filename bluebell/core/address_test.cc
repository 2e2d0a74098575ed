#include "bluebell/core/address.h"

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

TEST_CASE("an address is unchanged by formatting and parsing") {
  const std::string text = GENERATE("127.0.0.1:7400", "[::1]:80");
  const result<address> parsed = address::Parse(text);
  REQUIRE(parsed);
  CHECK(parsed.value().ToString() == text);
}

TEST_CASE("host names and malformed ports are rejected") {
  const std::string text =
      GENERATE("localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
               "127.0.0.1:8x", ":80");
  CHECK_FALSE(address::Parse(text));
}

}  // namespace
}  // namespace bluebell
