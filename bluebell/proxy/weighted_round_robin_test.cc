#include "bluebell/proxy/weighted_round_robin.h"

#include <map>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

TEST_CASE("each service gets its share of a small number of requests") {
  weighted_round_robin picker;
  service_route route;
  route.name = "r";
  route.shares = {{service_name("a"), 90}, {service_name("b"), 10}};
  std::map<service_name, int> count;
  for (int i = 0; i < 20; ++i) {
    ++count[picker.Pick(route).service];
  }
  CHECK(count[service_name("a")] == 18);
  CHECK(count[service_name("b")] == 2);
  route.shares = {{service_name("a"), 0}, {service_name("b"), 1}};
  for (int i = 0; i < 20; ++i) {
    CHECK(picker.Pick(route).service == service_name("b"));
  }
}

}  // namespace
}  // namespace bluebell
