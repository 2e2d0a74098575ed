// A proxy of TCP connections on loopback whose open connections can go silent:
// they stay open, and nothing passes any more in either direction.

#ifndef REVIEW_STANDINS_PROXY_H_
#define REVIEW_STANDINS_PROXY_H_

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "review/standins/clock.h"
#include "review/standins/http.h"

namespace review {

class silencing_proxy {
 public:
  explicit silencing_proxy(std::uint16_t target_port)
      : target_port_(target_port), listener_(Listen(port_)) {
    std::thread([this] { Accept(); }).detach();
  }
  silencing_proxy(const silencing_proxy&) = delete;
  silencing_proxy& operator=(const silencing_proxy&) = delete;

  std::uint16_t port() const { return port_; }

  // Silences half of the open connections, those that have been quiet for the
  // longest time. Returns their number.
  std::size_t SilenceQuietestHalf() {
    const std::lock_guard lock(mutex_);
    std::erase_if(links_, [](const auto& each) { return each->closed.load(); });
    std::sort(links_.begin(), links_.end(), [](const auto& a, const auto& b) {
      return a->last_used.load() < b->last_used.load();
    });
    const std::size_t count = links_.size() / 2;
    for (std::size_t i = 0; i < count; ++i) {
      links_[i]->silent = true;
    }
    return count;
  }
  std::size_t open_connections() {
    const std::lock_guard lock(mutex_);
    std::erase_if(links_, [](const auto& each) { return each->closed.load(); });
    return links_.size();
  }

 private:
  struct link_state {
    int caller = -1;
    int target = -1;
    std::atomic<bool> silent{false};
    std::atomic<bool> closed{false};
    std::atomic<std::int64_t> last_used{0};
  };

  static int Listen(std::uint16_t& port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in where = connection::Loopback(0);
    socklen_t size = sizeof where;
    ::bind(socket, reinterpret_cast<const sockaddr*>(&where), size);
    ::listen(socket, 128);
    ::getsockname(socket, reinterpret_cast<sockaddr*>(&where), &size);
    port = ntohs(where.sin_port);
    return socket;
  }

  void Accept() {
    while (true) {
      const int caller = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (caller < 0) {
        continue;
      }
      const int target = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in where = connection::Loopback(target_port_);
      if (::connect(target, reinterpret_cast<const sockaddr*>(&where),
                    sizeof where) != 0) {
        ::close(caller);
        ::close(target);
        continue;
      }
      const auto link = std::make_shared<link_state>();
      link->caller = caller;
      link->target = target;
      link->last_used = MillisSinceStart(Now());
      {
        const std::lock_guard lock(mutex_);
        links_.push_back(link);
      }
      std::thread([link] { Forward(*link); }).detach();
    }
  }

  static bool Move(link_state& link, int from, int to) {
    std::array<char, 16'384> bytes{};
    const ssize_t size = ::recv(from, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return false;
    }
    link.last_used = MillisSinceStart(Now());
    return link.silent ||
           ::send(to, bytes.data(), static_cast<std::size_t>(size),
                  MSG_NOSIGNAL) == size;
  }

  static void Forward(link_state& link) {
    std::array<pollfd, 2> sides{pollfd{link.caller, POLLIN, 0},
                                pollfd{link.target, POLLIN, 0}};
    while (true) {
      ::poll(sides.data(), sides.size(), -1);
      if (sides[0].revents != 0 && !Move(link, link.caller, link.target)) {
        break;
      }
      if (sides[1].revents != 0 && !Move(link, link.target, link.caller)) {
        break;
      }
    }
    link.closed = true;
    ::close(link.caller);
    ::close(link.target);
  }

  std::uint16_t target_port_;
  std::uint16_t port_ = 0;
  int listener_;
  std::mutex mutex_;
  std::vector<std::shared_ptr<link_state>> links_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_PROXY_H_
