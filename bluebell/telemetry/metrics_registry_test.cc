#include "bluebell/telemetry/metrics_registry.h"

#include <chrono>
#include <iostream>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

bool HasLine(const std::string& page, const std::string& line) {
  return page.find('\n' + line + '\n') != std::string::npos;
}

TEST_CASE("metric names are unique") {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < MetricCount(); ++i) {
    names.insert(Describe(static_cast<metric>(i)).name);
  }
  CHECK(names.size() == MetricCount());
}

TEST_CASE("concurrent increments of the same series are all counted") {
  metrics_registry registry;
  constexpr int kThreads = 4;
  constexpr int kIncrements = 20'000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread_index = 0; thread_index < kThreads; ++thread_index) {
    threads.emplace_back([&registry] {
      for (int i = 0; i < kIncrements; ++i) {
        const std::string service = "service-" + std::to_string(i % 50);
        registry.Add(metric::kForwards, {service});
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (int i = 0; i < 50; ++i) {
    const std::string service = "service-" + std::to_string(i);
    CHECK(registry.Count(metric::kForwards, {service}) ==
          kThreads * kIncrements / 50);
  }
}

TEST_CASE(
    "a metric with unbounded label values keeps a bounded number of series") {
  metrics_registry registry;
  for (std::size_t i = 0; i < metrics_registry::kMaxSeries + 10; ++i) {
    registry.Add(metric::kForwards, {std::to_string(i)});
  }
  CHECK(registry.Count(metric::kForwards, {"other"}) == 10);
  CHECK(registry.Count(metric::kForwards, {"0"}) == 1);
  CHECK(HasLine(registry.Expose(),
                R"(bluebell_forwards_total{service="other"} 10)"));
}

TEST_CASE("the output follows the Prometheus text format") {
  metrics_registry registry;
  registry.Add(metric::kRefusals, {"a\"b\\c\nd", "no_owner"}, 3);
  registry.Set(metric::kConfigVersion, {}, 17);
  registry.Observe(metric::kRequestSeconds, {"tracker", "urgent", "answer"},
                   microseconds(900));
  registry.Observe(metric::kRequestSeconds, {"tracker", "urgent", "answer"},
                   seconds(60));
  const std::string page = registry.Expose();
  CHECK(HasLine(page, "# TYPE bluebell_refusals_total counter"));
  CHECK(HasLine(
      page,
      R"(bluebell_refusals_total{service="a\"b\\c\nd",reason="no_owner"} 3)"));
  CHECK(HasLine(page, "bluebell_config_version 17"));
  const std::string labels =
      R"(service="tracker",rank="urgent",outcome="answer")";
  const std::string name = "bluebell_request_seconds";
  CHECK(HasLine(page, name + "_bucket{" + labels + R"(,le="0.0005"} 0)"));
  CHECK(HasLine(page, name + "_bucket{" + labels + R"(,le="0.001"} 1)"));
  CHECK(HasLine(page, name + "_bucket{" + labels + R"(,le="30"} 1)"));
  CHECK(HasLine(page, name + "_bucket{" + labels + R"(,le="+Inf"} 2)"));
  CHECK(HasLine(page, name + "_sum{" + labels + "} 60.0009"));
  CHECK(HasLine(page, name + "_count{" + labels + "} 2"));
}

TEST_CASE("a call that doesn't fit the metric's kind or labels is ignored") {
  metrics_registry registry;
  registry.Add(metric::kConfigVersion, {});
  registry.Set(metric::kForwards, {"tracker"}, 5);
  registry.Add(metric::kRefusals, {"tracker"});
  registry.Add(metric::kRefusals, {"tracker", "overloaded", "extra"});
  CHECK(registry.Count(metric::kForwards, {"tracker"}) == 0);
  CHECK(registry.Count(metric::kRefusals, {"tracker", ""}) == 1);
  CHECK(registry.Count(metric::kRefusals, {"tracker", "overloaded"}) == 1);
}

// Prints the time of one increment with several threads on the same series.
TEST_CASE("cost of counting", "[.measure]") {
  metrics_registry registry;
  constexpr int kIncrements = 1'000'000;
  for (const int count : {1, 4}) {
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int thread_index = 0; thread_index < count; ++thread_index) {
      threads.emplace_back([&registry] {
        for (int i = 0; i < kIncrements; ++i) {
          registry.Add(metric::kRequests, {"tracker", "urgent", "answer"});
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    const nanoseconds elapsed = std::chrono::steady_clock::now() - start;
    std::cout << "Add: " << elapsed.count() / kIncrements << " ns, threads "
              << count << '\n';
  }
}

}  // namespace
}  // namespace bluebell
