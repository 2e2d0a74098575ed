#include "bluebell/net/task.h"

#include <stdexcept>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

namespace bluebell {
namespace {

boost::asio::awaitable<void> Fail() {
  throw std::runtime_error("malformed");
  co_return;
}

// Guards against an unexpected error that ends the whole process.
TEST_CASE("an exception of one handler leaves the others running") {
  boost::asio::io_context io;
  const std::uint64_t before = UnexpectedErrorCount();
  int done = 0;
  boost::asio::post(io, [] { throw std::runtime_error("malformed"); });
  boost::asio::post(io, [&] { ++done; });
  boost::asio::post(io, [] { throw 7; });
  boost::asio::post(io, [&] { ++done; });
  RunHandlers(io, "test");
  CHECK(done == 2);
  CHECK(UnexpectedErrorCount() == before + 2);
}

// Guards against a task that ends silently, such as the watch of the store.
TEST_CASE("an exception that leaves a task is reported and can restart it") {
  boost::asio::io_context io;
  const std::uint64_t before = UnexpectedErrorCount();
  int restarts = 0;
  SpawnTask(io.get_executor(), "test", Fail(), [&] { ++restarts; });
  RunHandlers(io, "test");
  CHECK(restarts == 1);
  CHECK(UnexpectedErrorCount() == before + 1);
}

}  // namespace
}  // namespace bluebell
