#include "bluebell/entry/caller_server.h"

#include <utility>
#include <vector>

#include "bluebell/entry/entry_router.h"
#include "bluebell/runtime/clock.h"

namespace bluebell {

namespace {

constexpr milliseconds kSweepInterval{500};

}  // namespace

caller_server::caller_server(const traffic_context& context,
                             const caller_limits& limits,
                             entry_router& router)
    : context_(context),
      limits_(limits),
      router_(&router),
      sweep_(*context.io) {}

void caller_server::Take(boost::asio::ip::tcp::socket socket) {
  if (draining_ || sessions_.size() >= kMaxSessions) {
    boost::system::error_code ignored;
    socket.close(ignored);
    return;
  }
  auto session = std::make_shared<caller_session>(
      std::move(socket), context_, limits_, *router_,
      [this](caller_session* closed) { sessions_.erase(closed); });
  sessions_.emplace(session.get(), session);
  session->Start();
  ScheduleSweep();
}

void caller_server::ScheduleSweep() {
  if (sweeping_ || sessions_.empty()) {
    return;
  }
  sweeping_ = true;
  sweep_.expires_after(kSweepInterval);
  sweep_.async_wait([this](boost::system::error_code failure) {
    sweeping_ = false;
    if (!failure) {
      Sweep();
      ScheduleSweep();
    }
  });
}

// One timer for all connections costs less than one for each read.
void caller_server::Sweep() {
  const instant now = Now();
  std::vector<std::shared_ptr<caller_session>> all;
  for (const auto& [key, session] : sessions_) {
    all.push_back(session);
  }
  for (const auto& session : all) {
    session->CloseIfStuck(now);
  }
}

void caller_server::Drain() {
  draining_ = true;
  std::vector<std::shared_ptr<caller_session>> all;
  for (const auto& [key, session] : sessions_) {
    all.push_back(session);
  }
  for (const auto& session : all) {
    session->Drain();
  }
}

}  // namespace bluebell
