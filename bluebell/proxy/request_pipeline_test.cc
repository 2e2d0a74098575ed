#include "bluebell/proxy/request_pipeline.h"

#include <random>
#include <vector>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

served_response Response(unsigned status) {
  served_response served;
  served.response.result(status);
  return served;
}

unsigned StatusOf(const std::optional<request_pipeline::next_response>& next) {
  return next ? next->served.response.result_int() : 0;
}

// Guards against a response that its caller takes for that of another request.
TEST_CASE("responses leave in the order of their requests") {
  request_pipeline pipeline;
  const auto first = pipeline.Start(true);
  REQUIRE(pipeline.CanStart(true, false));
  const auto second = pipeline.Start(true);
  const auto third = pipeline.Start(true);
  pipeline.Finish(third, Response(203));
  pipeline.Finish(second, Response(502));
  CHECK(!pipeline.TakeNext(false));
  pipeline.Finish(first, Response(201));
  CHECK(StatusOf(pipeline.TakeNext(false)) == 201);
  CHECK(!pipeline.TakeNext(false));
  pipeline.OnWritten();
  CHECK(StatusOf(pipeline.TakeNext(false)) == 502);
  pipeline.OnWritten();
  CHECK(StatusOf(pipeline.TakeNext(false)) == 203);
  CHECK(!pipeline.empty());
  pipeline.OnWritten();
  CHECK(pipeline.empty());
}

// Guards against a request that runs although the caller sends it again.
TEST_CASE("nothing starts behind a response that closes the connection") {
  request_pipeline pipeline;
  const auto first = pipeline.Start(true);
  const auto second = pipeline.Start(false);
  CHECK(!pipeline.CanStart(true, false));
  pipeline.Finish(first, Response(200));
  CHECK(pipeline.TakeNext(false)->keep_open);
  pipeline.OnWritten();
  pipeline.Finish(second, Response(200));
  CHECK(!pipeline.TakeNext(false)->keep_open);
  pipeline.OnWritten();
  CHECK(pipeline.empty());
  CHECK(!pipeline.CanStart(true, false));
}

// Guards against a non-idempotent request that is cut off because a response
// before it closes the connection.
TEST_CASE("a non-idempotent request waits until it is the first") {
  request_pipeline pipeline;
  const auto first = pipeline.Start(true);
  CHECK(!pipeline.CanStart(false, false));
  pipeline.Finish(first, Response(200));
  REQUIRE(pipeline.TakeNext(false));
  CHECK(!pipeline.CanStart(false, false));
  pipeline.OnWritten();
  CHECK(pipeline.CanStart(false, false));
}

// Guards against requests that are passed on and then cut by a planned stop.
TEST_CASE("while the daemon stops, only the last response closes") {
  request_pipeline pipeline;
  const auto first = pipeline.Start(true);
  const auto second = pipeline.Start(true);
  CHECK(!pipeline.CanStart(true, true));
  pipeline.Finish(first, Response(200));
  pipeline.Finish(second, Response(200));
  CHECK(pipeline.TakeNext(true)->keep_open);
  pipeline.OnWritten();
  CHECK(!pipeline.TakeNext(true)->keep_open);
  pipeline.OnWritten();
  CHECK(pipeline.closing());
}

TEST_CASE("a request on an idle connection is served while the daemon stops") {
  request_pipeline pipeline;
  CHECK(pipeline.CanStart(false, true));
}

// Guards against memory that a caller that reads no responses can use up.
TEST_CASE("the number of requests in the pipeline is bounded") {
  request_pipeline pipeline;
  std::size_t started = 0;
  while (pipeline.CanStart(true, false)) {
    pipeline.Start(true);
    ++started;
  }
  CHECK(started == request_pipeline::kMaxRequests);
}

// Checks order, bound and close in random interleavings.
TEST_CASE("random requests and responses keep the order") {
  for (unsigned run = 1; run <= 300; ++run) {
    CAPTURE(run);
    std::minstd_rand random(run);
    request_pipeline pipeline;
    std::vector<std::uint64_t> waiting;
    std::uint64_t last_written = 0;
    bool closed = false;
    bool stopping = false;
    for (int step = 0; step < 200; ++step) {
      const bool idempotent = random() % 4 != 0;
      stopping = stopping || random() % 150 == 0;
      if (pipeline.CanStart(idempotent, stopping)) {
        CHECK(!closed);
        CHECK((idempotent || pipeline.empty()));
        waiting.push_back(pipeline.Start(random() % 30 != 0));
        CHECK(waiting.size() <= request_pipeline::kMaxRequests);
      }
      if (!waiting.empty() && random() % 2 == 0) {
        const auto index = random() % waiting.size();
        const auto number = waiting[index];
        waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
        pipeline.Finish(number, Response(static_cast<unsigned>(200 + number)));
      }
      if (const auto next = pipeline.TakeNext(stopping)) {
        CHECK(!closed);
        CHECK(StatusOf(next) == 200 + ++last_written);
        closed = !next->keep_open;
        pipeline.OnWritten();
      }
    }
  }
}

}  // namespace
}  // namespace bluebell
