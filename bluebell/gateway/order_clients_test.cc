#include "bluebell/gateway/order_clients.h"

#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "bluebell/fleet/fleet_endpoint.h"
#include "bluebell/fleet/fleet_snapshot.h"
#include "bluebell/http/http_client.h"

namespace bluebell {
namespace {

fleet_endpoint Entry(int number) {
  fleet_endpoint entry;
  entry.instance = {endpoint_id("i-" + std::to_string(number)), incarnation(1)};
  entry.where =
      address::Parse("10.0.0.1:" + std::to_string(8'000 + number)).value();
  return entry;
}

// Failure: the coordinator keeps a client, with its idle connections, for each
// address that an endpoint ever had.
TEST_CASE("the clients of replaced endpoints are closed") {
  boost::asio::io_context io;
  order_clients clients;
  for (int i = 0; i < 100; ++i) {
    fleet_snapshot view;
    for (const fleet_endpoint& entry : {Entry(i), Entry(i + 1)}) {
      view.endpoints.emplace(entry.instance.endpoint, entry);
      clients.try_emplace(
          entry.where,
          http_client::Make(io, entry.where, http_client_options()).value());
    }
    CloseUnlistedClients(clients, view);
    CHECK(clients.size() == 2);
  }
  CHECK(clients.contains(Entry(100).where));
}

}  // namespace
}  // namespace bluebell
