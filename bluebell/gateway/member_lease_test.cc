#include "bluebell/gateway/member_lease.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/store_era.h"
#include "bluebell/fleet/store_keys.h"
#include "bluebell/gateway/store_watcher.h"
#include "bluebell/http/internal/response_script.h"
#include "bluebell/kv/kv_client.h"
#include "platform/wire_samples.h"

namespace bluebell {
namespace {

namespace asio = boost::asio;

const daemon_id kDaemon("front-1");
const fleet_member kMember{{kDaemon, incarnation(5)},
                           domain_name("a"),
                           address::Parse("10.0.0.1:7200").value(),
                           200,
                           false};

using platform::SampleLeaseBody;
using platform::SampleStoreResponse;

std::string Response(const std::string& status, const std::string& body) {
  return SampleStoreResponse("", body, status);
}

const fleet_decoders kNoDecoders{"endpoints/", "config", nullptr,
                                 nullptr,      "config", ""};

// Runs a member_lease with a store that sends the responses in order, and
// returns the times of the calls.
std::vector<instant> RunLease(const std::vector<std::string>& responses) {
  asio::io_context io;
  std::vector<instant> call_times;
  response_script server(io, [&](std::vector<std::string>& /*sent*/) {
    call_times.push_back(BootNow());
    return responses[std::min(call_times.size(), responses.size()) - 1];
  });
  const auto store = kv_client::Make(io, server.where()).value();
  // Has a client of its own, so that all calls are those of the lease.
  const auto watcher_store = kv_client::Make(io, server.where()).value();
  store_watcher watcher(io, *watcher_store, kNoDecoders, watcher_handlers{});
  member_lease lease(io, *store, watcher, kMember);
  lease.Start();
  while (call_times.size() < responses.size() &&
         io.run_one_for(seconds(5)) > 0) {
  }
  REQUIRE(call_times.size() == responses.size());
  return call_times;
}

// Failure: the store executes the announcement of an ended process late, after
// that of a later process under the same daemon id. The other daemons take the
// live process for ended, although it may be the coordinator.
TEST_CASE("a late announcement doesn't replace that of a later process") {
  const kv_write write =
      AnnouncementWrite(kMember, store_version(3), kv_lease(7));
  CHECK(write.conditions ==
        std::vector<kv_condition>{{MemberKey(kDaemon), store_version(3)}});
  REQUIRE(write.puts.size() == 1);
  CHECK(write.puts.front().key == MemberKey(kDaemon));
  CHECK(write.puts.front().lease == kv_lease(7));
}

// Failure: a daemon that is started again while the entry of its former process
// exists isn't announced until that entry has expired.
TEST_CASE("a daemon replaces the entry of its former process at once") {
  const std::vector<std::string> responses{
      Response("200 OK", SampleLeaseBody(7)),
      Response("412 Precondition Failed",
               R"({"items":[{"Key":"bluebell/members/front-1",)"
               R"("Value":"e30=","Revision":3,"CreatedRev":3,"Lease":2}]})"),
      Response("200 OK", R"({"Revision":9})")};
  const std::vector<instant> call_times = RunLease(responses);
  // Shorter than the pause after a failed announcement.
  CHECK(call_times[2] - call_times[1] < milliseconds(300));
}

// Failure: a daemon that was cut off from the store learns up to 2 s late that
// the cut has ended, and for 2 s more it uses endpoints that left meanwhile.
TEST_CASE("the end of an outage of the store is noticed at once") {
  asio::io_context io;
  std::vector<instant> call_times;
  constexpr std::size_t kAnnouncement = 2;
  constexpr std::size_t kOutageEnd = kAnnouncement + 4;
  // The renewal that ends the outage, and the read that follows.
  constexpr std::size_t kAnswered = kOutageEnd + 2;
  response_script server(io, [&](std::vector<std::string>& /*sent*/) {
    call_times.push_back(BootNow());
    const std::size_t calls = call_times.size();
    if (calls <= kAnnouncement) {
      return Response("200 OK", R"({"Lease":7,"TtlS_time":6,"Revision":4})");
    }
    const bool is_answered = calls > kOutageEnd && calls <= kAnswered;
    return is_answered ? Response("200 OK", R"({"items":[],"HasMore":false,)"
                                            R"("CurrentRev":5})")
                       : std::string();
  });
  const auto store = kv_client::Make(io, server.where()).value();
  store_watcher watcher(io, *store, kNoDecoders,
                        watcher_handlers{[](const fleet_state&) {}, nullptr});
  member_lease lease(io, *store, watcher, kMember);
  lease.Start();
  while (call_times.size() < kAnswered && io.run_one_for(seconds(5)) > 0) {
  }
  REQUIRE(call_times.size() == kAnswered);
  // The first renewal without a response runs until its timeout.
  for (std::size_t i = kAnnouncement + 1; i < kOutageEnd; ++i) {
    CHECK(call_times[i + 1] - call_times[i] < milliseconds(600));
  }
  // Earlier renewals end without a response after the outage.
  io.run_for(milliseconds(900));
  CHECK(watcher.store_is_available());
}

// Failure: the entry has gone with its lease, and the daemon takes itself for
// announced: it is no dispatcher, relay or coordinator until it restarts.
TEST_CASE("a daemon whose lease has ended writes its entry again") {
  const std::vector<std::string> responses{
      Response("200 OK", SampleLeaseBody(7)),
      Response("200 OK", R"({"Revision":9})"), Response("404 Not Found", ""),
      Response("200 OK", SampleLeaseBody(8)),
      Response("200 OK", R"({"Revision":12})")};
  const std::vector<instant> call_times = RunLease(responses);
  // The renewal that shows it, and the new announcement.
  CHECK(call_times[2] - call_times[1] < seconds(2));
  CHECK(call_times[4] - call_times[2] < seconds(1));
}

// Failure: the store comes back without the entry, or with an earlier one, and
// the daemon goes on renewing a lease id that another daemon may have by now.
TEST_CASE("a daemon writes its entry again when the store's era rises") {
  const std::vector<std::string> responses{
      SampleStoreResponse("1", SampleLeaseBody(7)),
      SampleStoreResponse("1", R"({"Revision":9})"),
      SampleStoreResponse("2", "{}"),
      SampleStoreResponse("2", SampleLeaseBody(7)),
      SampleStoreResponse("2", R"({"Revision":4})")};
  const std::vector<instant> call_times = RunLease(responses);
  CHECK(call_times[4] - call_times[2] < milliseconds(1'500));
}

// Failure: a daemon goes on with watches and a state of the history that the
// store has lost.
TEST_CASE("a rise of the store's era starts a new read of all keys") {
  asio::io_context io;
  std::size_t calls = 0;
  response_script server(io, [&](std::vector<std::string>& /*sent*/) {
    // The listing and the watches of the first era, then those of the second.
    const std::string era = ++calls <= 3 ? "1" : "2";
    return SampleStoreResponse(era,
                               R"({"items":[],"events":[],"CurrentRev":3})");
  });
  const auto store = kv_client::Make(io, server.where()).value();
  store_watcher watcher(io, *store, kNoDecoders,
                        watcher_handlers{[](const fleet_state&) {}, nullptr});
  watcher.Start();
  const instant latest = BootNow() + seconds(4);
  while (watcher.read_era() != store_era(2) && BootNow() < latest) {
    io.run_one_for(milliseconds(100));
  }
  CHECK(watcher.read_era() == store_era(2));
  CHECK(watcher.state().removals_delayed_until() > BootNow());
}

}  // namespace
}  // namespace bluebell
