// Serves the platform protocol on a given address until it is told to stop.

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <string>

#include "testing/platform_standin.h"

int main(int argc, char** argv) {
  const std::string text = argc == 2 ? argv[1] : "";
  const auto listen = bluebell::address::Parse(text);
  if (!listen) {
    std::cerr << "usage: platform_standin IP:PORT\n";
    return 2;
  }
  boost::asio::io_context io(1);
  const auto platform = bluebell::platform_standin::Start(io, listen.value());
  if (!platform) {
    std::cerr << platform.error() << '\n';
    return 1;
  }
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const auto&, int) { io.stop(); });
  std::cout << "listening on " << listen.value() << std::endl;
  io.run();
  return 0;
}
