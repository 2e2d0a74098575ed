#include "bluebell/daemon/traffic_thread.h"

#include <exception>
#include <utility>

#include "bluebell/telemetry/log_event.h"

namespace bluebell {

traffic_thread::traffic_thread(std::string name)
    : name_(std::move(name)), work_(boost::asio::make_work_guard(io_)) {}

traffic_thread::~traffic_thread() {
  Stop();
}

void traffic_thread::Start() {
  thread_ = std::thread([this] { Run(); });
}

void traffic_thread::Run() {
  while (!io_.stopped()) {
    try {
      io_.run();
    } catch (const std::exception& failure) {
      // The handler that threw is dropped. The loop goes on with the next one.
      log_event(log_level::kError, "a handler failed")
          .With("thread", name_)
          .With("detail", failure.what())
          .Write();
    }
  }
}

void traffic_thread::Stop() {
  io_.stop();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void traffic_thread::RunReadyHandlers() {
  io_.restart();
  io_.poll();
}

}  // namespace bluebell
