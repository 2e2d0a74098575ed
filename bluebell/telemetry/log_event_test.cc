#include "bluebell/telemetry/log_event.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <unistd.h>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/ids.h"
#include "bluebell/core/time.h"
#include "bluebell/telemetry/internal/log_queue.h"

namespace bluebell {
namespace {

std::string TemporaryFile() {
  return "/tmp/bluebell_log_event_test." + std::to_string(getpid());
}

std::vector<boost::json::object> ReadLines(const std::string& file) {
  std::vector<boost::json::object> lines;
  std::ifstream in(file);
  std::string line;
  while (std::getline(in, line)) {
    lines.push_back(boost::json::parse(line).as_object());
  }
  return lines;
}

TEST_CASE("each line is a valid JSON object whatever bytes its fields hold") {
  const std::string file = TemporaryFile();
  ConfigureLog(log_level::kInfo, file);
  const std::string hostile = "a\"b\\c\nd\x01\xC3(\xF0\x9F\x98\x80\xED\xA0\x80";
  log_event(log_level::kInfo, "quote \" and\nline feed")
      .With("text", hostile)
      .With("literal", "tracker")
      .With("yes", true)
      .With("large", std::numeric_limits<std::uint64_t>::max())
      .With("negative", -7)
      .With("ratio", 0.25)
      .With("infinite", std::numeric_limits<double>::infinity())
      .With("epoch", epoch(3))
      .With(error(errc::kTimeout, step::kReadStore, "127.0.0.1:1", "late"))
      .Write();
  log_event(log_level::kDebug, "below the level").Write();
  FlushLog();
  const auto lines = ReadLines(file);
  std::filesystem::remove(file);
  REQUIRE(lines.size() == 1);
  const boost::json::object& line = lines.front();
  CHECK(line.begin()[0].key() == "time");
  CHECK(line.begin()[1].key() == "level");
  CHECK(line.begin()[2].key() == "message");
  CHECK(line.at("message").as_string() == "quote \" and\nline feed");
  CHECK(line.at("text").as_string() ==
        "a\"b\\c\nd\x01\xEF\xBF\xBD(\xF0\x9F\x98\x80"
        "\xEF\xBF\xBD\xEF\xBF\xBD\xEF\xBF\xBD");
  CHECK(line.at("literal").as_string() == "tracker");
  CHECK(line.at("yes").as_bool());
  CHECK(line.at("large").to_number<std::uint64_t>() ==
        std::numeric_limits<std::uint64_t>::max());
  CHECK(line.at("negative").as_int64() == -7);
  CHECK(line.at("ratio").as_double() == 0.25);
  CHECK(line.at("infinite").is_null());
  CHECK(line.at("epoch").as_int64() == 3);
  CHECK(line.at("step").as_string() == "read_store");
  CHECK(line.at("peer").as_string() == "127.0.0.1:1");
}

TEST_CASE(
    "a blocked log file drops lines instead of blocking the logging thread") {
  std::mutex mutex;
  std::condition_variable changed;
  bool unblocked = false;
  bool writer_called = false;
  std::vector<std::string> written;
  internal::log_queue queue(
      [&](const std::string& line) {
        std::unique_lock lock(mutex);
        writer_called = true;
        changed.notify_all();
        changed.wait(lock, [&] { return unblocked; });
        written.push_back(line);
      },
      2);
  queue.Push("first");
  {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return writer_called; });
  }
  for (const char* line : {"second", "third", "fourth", "fifth"}) {
    queue.Push(line);
  }
  {
    const std::lock_guard lock(mutex);
    unblocked = true;
  }
  changed.notify_all();
  queue.Flush();
  REQUIRE(written.size() == 4);
  CHECK(written[2] == "third");
  CHECK(written[3].find(R"("message":"log lines dropped","count":2})") !=
        std::string::npos);
}

// Prints the time that a line takes on the logging thread, at 10,000 lines per
// second.
TEST_CASE("cost of a log line", "[.measure]") {
  const std::string file = TemporaryFile();
  ConfigureLog(log_level::kInfo, file);
  constexpr int kLines = 20'000;
  std::vector<nanoseconds> costs;
  auto next = std::chrono::steady_clock::now();
  for (int i = 0; i < kLines; ++i) {
    next += microseconds(100);
    std::this_thread::sleep_until(next);
    const auto start = std::chrono::steady_clock::now();
    log_event(log_level::kInfo, "request routed")
        .With("service", "tracker")
        .With("rank", "urgent")
        .With("request", "01931e0c-3c1a-7c1e-8f00-0123456789ab")
        .With("endpoint", "lk-west-a-tracker-1")
        .With("epoch", i)
        .With("outcome", "answer")
        .Write();
    costs.push_back(std::chrono::steady_clock::now() - start);
  }
  FlushLog();
  const std::size_t lines = ReadLines(file).size();
  std::filesystem::remove(file);
  std::sort(costs.begin(), costs.end());
  std::cout << "log line: p50 " << costs[kLines / 2].count() << " ns, p99 "
            << costs[kLines * 99 / 100].count() << " ns, p99.9 "
            << costs[kLines * 999 / 1000].count() << " ns, lines " << lines
            << '\n';
}

}  // namespace
}  // namespace bluebell
