// Tests of kv_client with a store that comes back from an older copy.

#include "bluebell/kv/kv_client.h"

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/http/internal/response_script.h"
#include "platform/wire_samples.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;

using platform::SampleLeaseBody;
using platform::SampleStoreResponse;

const std::string kNoChanges = R"({"events":[],"CurrentRev":9})";
const std::string kWritten = R"({"Revision":10})";
const std::string kEmptyPage = R"({"items":[],"CurrentRev":9})";

// A client of a store that gives the responses in order, then the last again.
class scripted_store {
 public:
  explicit scripted_store(std::vector<std::string> responses)
      : responses_(std::move(responses)),
        server_(io_,
                [this](std::vector<std::string>& /*sent*/) {
                  return responses_[std::min(calls_++, responses_.size() - 1)];
                }),
        client_(kv_client::Make(io_, server_.where()).value()) {
    client_->AddEraHandler([this](store_era era) { rises_.push_back(era); });
  }

  template <typename T>
  result<T> Run(asio::awaitable<result<T>> task) {
    std::optional<result<T>> outcome;
    asio::co_spawn(io_, Await(std::move(task), outcome), asio::detached);
    io_.restart();
    while (!outcome && io_.run_one() > 0) {
    }
    return std::move(*outcome);
  }
  // A watch, which shows the client the era of its response.
  result<kv_changes> Watch(store_version after) {
    return Run(client_->Watch("", after, milliseconds(1)));
  }

  kv_client& client() { return *client_; }
  std::size_t calls() const { return calls_; }
  const std::vector<store_era>& rises() const { return rises_; }

 private:
  template <typename T>
  static asio::awaitable<void> Await(asio::awaitable<result<T>> task,
                                     std::optional<result<T>>& outcome) {
    outcome = co_await std::move(task);
  }

  std::vector<std::string> responses_;
  std::size_t calls_ = 0;
  std::vector<store_era> rises_;
  asio::io_context io_;
  response_script server_;
  std::unique_ptr<kv_client> client_;
};

kv_write WriteOf(store_version condition) {
  return {{{"key", condition}}, {{"key", "value", kv_lease()}}};
}

// Failure: without the header, versions change their meaning, or calls are
// withheld.
TEST_CASE("a store without eras is used as before") {
  scripted_store store(
      {SampleStoreResponse("", kNoChanges), SampleStoreResponse("", kWritten)});
  const auto changes = store.Watch(store_version(8));
  REQUIRE(changes);
  CHECK(changes.value().revision == store_version(9));
  const auto written =
      store.Run(store.client().Write(WriteOf(store_version(9))));
  REQUIRE(written);
  CHECK(std::get<kv_written>(written.value()).revision == store_version(10));
  CHECK(store.client().era() == store_era(0));
  CHECK(store.rises().empty());
}

// Failure: an error without the header counted as era 0, and the next response
// as a store that has come back from an older copy.
TEST_CASE("a response without the header says nothing of the era") {
  scripted_store store({SampleStoreResponse("", "", "503 Service Unavailable"),
                        SampleStoreResponse("3", kNoChanges),
                        SampleStoreResponse("", kNoChanges)});
  CHECK_FALSE(store.Watch(store_version()));
  REQUIRE(store.Watch(VersionIn(store_era(3), 8)));
  CHECK(store.client().first_era() == store_era(3));
  CHECK(store.Watch(VersionIn(store_era(3), 8)));
  CHECK(store.client().era() == store_era(3));
  CHECK(store.rises().empty());
}

// Failure: a revision that the store has assigned twice satisfies a condition,
// and the write replaces a value that its writer has never seen.
TEST_CASE("a condition of an earlier era conflicts without a call") {
  scripted_store store({SampleStoreResponse("1", kNoChanges),
                        SampleStoreResponse("2", kNoChanges),
                        SampleStoreResponse("2", kWritten)});
  REQUIRE(store.Watch(VersionIn(store_era(1), 8)));
  const auto lost = store.Watch(VersionIn(store_era(1), 9));
  REQUIRE_FALSE(lost);
  CHECK(lost.error().code() == errc::kNotFound);
  CHECK(store.rises() == std::vector<store_era>{store_era(2)});
  REQUIRE(store.calls() == 2);

  const auto conflict =
      store.Run(store.client().Write(WriteOf(VersionIn(store_era(1), 9))));
  REQUIRE(conflict);
  CHECK(std::holds_alternative<kv_conflict>(conflict.value()));
  const auto unsent = store.Watch(VersionIn(store_era(1), 9));
  CHECK(unsent.error().code() == errc::kNotFound);
  CHECK(store.calls() == 2);

  // "Must not exist" holds in every era.
  const auto written =
      store.Run(store.client().Write(WriteOf(store_version())));
  REQUIRE(written);
  CHECK(std::get<kv_written>(written.value()).revision ==
        VersionIn(store_era(2), 10));
}

// Failure: a write that a later era has executed counts as one in the era of
// its conditions.
TEST_CASE("the outcome of a write during a rise of the era is unknown") {
  scripted_store store({SampleStoreResponse("1", kNoChanges),
                        SampleStoreResponse("2", kWritten)});
  REQUIRE(store.Watch(VersionIn(store_era(1), 8)));
  const auto written =
      store.Run(store.client().Write(WriteOf(VersionIn(store_era(1), 9))));
  REQUIRE_FALSE(written);
  CHECK(written.error().code() != errc::kUnavailable);
}

// Failure: the daemon renews a lease of another daemon to which the store has
// granted the same id again, and takes its own for alive.
TEST_CASE("a lease of an earlier era has ended") {
  scripted_store store({SampleStoreResponse("1", SampleLeaseBody(7)),
                        SampleStoreResponse("2", "{}"),
                        SampleStoreResponse("2", "{}")});
  const auto lease = store.Run(store.client().StartLease(seconds(6)));
  REQUIRE(lease);
  CHECK(store.Run(store.client().RenewLease(lease.value().lease)).value() ==
        false);
  CHECK(store.Run(store.client().RenewLease(lease.value().lease)).value() ==
        false);
  CHECK(store.calls() == 2);
}

// Failure: a listing mixes pages of two eras, so that keys that one of them
// lost look deleted.
TEST_CASE("a listing begins anew when the era rises") {
  const std::string page =
      R"({"items":[{"Key":"a","Value":"","Revision":3}],"CurrentRev":9,)"
      R"("HasMore":true})";
  scripted_store store({SampleStoreResponse("1", page),
                        SampleStoreResponse("2", kEmptyPage),
                        SampleStoreResponse("2", kEmptyPage)});
  const auto listing = store.Run(store.client().List(""));
  REQUIRE(listing);
  CHECK(listing.value().items.empty());
  CHECK(listing.value().revision == VersionIn(store_era(2), 9));
  CHECK(store.calls() == 3);
}

}  // namespace
}  // namespace bluebell
