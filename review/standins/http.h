// Blocking HTTP/1.1 on loopback for the stand-ins: messages, connections, a
// server with one thread for each connection, and single calls.

#ifndef REVIEW_STANDINS_HTTP_H_
#define REVIEW_STANDINS_HTTP_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "review/standins/clock.h"

namespace review {

inline std::optional<std::int64_t> ParseNumber(const std::string& text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end && number >= 0
             ? std::optional(number)
             : std::nullopt;
}

struct http_header {
  std::string name;
  std::string value;
};

struct http_message {
  // The request line or the status line.
  std::string start_line;
  std::vector<http_header> headers;
  std::string body;

  std::optional<std::string> Header(const std::string& name) const {
    for (const http_header& each : headers) {
      if (strcasecmp(each.name.c_str(), name.c_str()) == 0) {
        return each.value;
      }
    }
    return std::nullopt;
  }
  std::string HeaderOr(const std::string& name, std::string other) const {
    return Header(name).value_or(std::move(other));
  }
  // The word of the start line with this index.
  std::string Word(int index) const {
    std::size_t from = 0;
    for (int i = 0; i < index && from != std::string::npos; ++i) {
      from = start_line.find(' ', from);
      from = from == std::string::npos ? from : from + 1;
    }
    return from == std::string::npos
               ? std::string()
               : start_line.substr(from, start_line.find(' ', from) - from);
  }
  std::string method() const { return Word(0); }
  std::string target() const { return Word(1); }
  int status() const {
    return start_line.empty() ? 0 : std::atoi(Word(1).c_str());
  }
};

// The bytes of a message with its length.
inline std::string Encode(const http_message& message) {
  std::string text = message.start_line + "\r\n";
  for (const http_header& each : message.headers) {
    text += each.name + ": " + each.value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(message.body.size()) +
         "\r\n\r\n" + message.body;
}

inline http_message Response(int status, std::string body = {}) {
  return {"HTTP/1.1 " + std::to_string(status) + " -", {}, std::move(body)};
}

class connection {
 public:
  explicit connection(int socket) : socket_(socket) {
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { Close(); }

  // Null if nobody accepts there.
  static std::unique_ptr<connection> Open(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto opened = std::make_unique<connection>(socket);
    const sockaddr_in where = Loopback(port);
    if (::connect(socket, reinterpret_cast<const sockaddr*>(&where),
                  sizeof where) != 0) {
      return nullptr;
    }
    return opened;
  }

  static sockaddr_in Loopback(std::uint16_t port) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return where;
  }

  bool Write(const std::string& bytes) const {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t size = ::send(socket_, bytes.data() + sent,
                                  bytes.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      sent += static_cast<std::size_t>(size);
    }
    return true;
  }

  // The next message with its whole body. Nothing if the connection ends or
  // `until` passes before that. A response without a length ends with the
  // connection.
  std::optional<http_message> Read(instant until) {
    std::size_t head = 0;
    while ((head = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!ReadMore(until)) {
        return std::nullopt;
      }
    }
    http_message message;
    std::size_t from = 0;
    while (from < head + 2) {
      const std::size_t end = input_.find("\r\n", from);
      const std::string line = input_.substr(from, end - from);
      if (from == 0) {
        message.start_line = line;
      } else if (const auto colon = line.find(':');
                 colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.push_back(
            {line.substr(0, colon),
             value == std::string::npos ? "" : line.substr(value)});
      }
      from = end + 2;
    }
    const auto stated = ParseNumber(message.HeaderOr("Content-Length", "0"));
    if (!stated) {
      return std::nullopt;
    }
    const auto length = static_cast<std::size_t>(*stated);
    while (input_.size() < head + 4 + length) {
      if (!ReadMore(until)) {
        return std::nullopt;
      }
    }
    message.body = input_.substr(head + 4, length);
    input_.erase(0, head + 4 + length);
    return message;
  }

  // True if the peer has closed or reset the connection.
  bool PeerHasClosed() const {
    pollfd state{socket_, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 &&
           (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }

  void Close() {
    if (socket_ >= 0) {
      ::close(std::exchange(socket_, -1));
    }
  }

 private:
  bool ReadMore(instant until) {
    const auto left =
        std::chrono::duration_cast<milliseconds>(until - Now()).count();
    pollfd state{socket_, POLLIN, 0};
    if (left <= 0 || ::poll(&state, 1, static_cast<int>(left) + 1) <= 0) {
      return false;
    }
    std::array<char, 16'384> bytes{};
    const ssize_t size = ::recv(socket_, bytes.data(), bytes.size(), 0);
    if (size <= 0) {
      return false;
    }
    input_.append(bytes.data(), static_cast<std::size_t>(size));
    return true;
  }

  int socket_;
  std::string input_;
};

// Serves each connection on a thread of its own until Stop(). `serve` handles
// one request and returns false if the connection is to be closed.
class http_server {
 public:
  using handler = std::function<bool(const http_message&, connection&)>;

  // Listens on a free port of loopback.
  explicit http_server(handler serve)
      : state_(std::make_shared<shared_state>()) {
    state_->serve = std::move(serve);
    state_->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(state_->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in where = connection::Loopback(0);
    socklen_t size = sizeof where;
    ::bind(state_->socket, reinterpret_cast<const sockaddr*>(&where), size);
    ::listen(state_->socket, 1'024);
    ::getsockname(state_->socket, reinterpret_cast<sockaddr*>(&where), &size);
    port_ = ntohs(where.sin_port);
    std::thread([state = state_] { Accept(state); }).detach();
  }
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;
  ~http_server() { Stop(); }

  // Ends listening; open connections end with their next request.
  void Stop() {
    state_->stopped = true;
    ::shutdown(state_->socket, SHUT_RDWR);
  }

  std::uint16_t port() const { return port_; }

 private:
  struct shared_state {
    int socket = -1;
    handler serve;
    std::atomic<bool> stopped{false};
  };

  static void Accept(const std::shared_ptr<shared_state>& state) {
    while (!state->stopped) {
      const int socket =
          ::accept4(state->socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0) {
        std::thread([state, socket] { Serve(state, socket); }).detach();
      }
    }
    ::close(state->socket);
  }

  static void Serve(const std::shared_ptr<shared_state>& state, int socket) {
    connection link(socket);
    while (!state->stopped) {
      const auto request = link.Read(Now() + std::chrono::minutes(3));
      if (!request || state->stopped || !state->serve(*request, link)) {
        return;
      }
    }
  }

  std::shared_ptr<shared_state> state_;
  std::uint16_t port_ = 0;
};

// True if nobody has the port of loopback, for the given kind of socket.
inline bool IsFree(std::uint16_t port, int kind) {
  const int socket = ::socket(AF_INET, kind | SOCK_CLOEXEC, 0);
  const sockaddr_in where = connection::Loopback(port);
  const bool is_free = ::bind(socket, reinterpret_cast<const sockaddr*>(&where),
                              sizeof where) == 0;
  ::close(socket);
  return is_free;
}

// A port of loopback that is free for TCP and UDP. It lies below the range from
// which the system takes the ports of outgoing connections.
inline std::uint16_t FreePort() {
  static std::mt19937 random{std::random_device()()};
  std::uniform_int_distribution<int> ports(12'000, 30'000);
  while (true) {
    const auto port = static_cast<std::uint16_t>(ports(random));
    if (IsFree(port, SOCK_STREAM) && IsFree(port, SOCK_DGRAM)) {
      return port;
    }
  }
}

}  // namespace review

#endif  // REVIEW_STANDINS_HTTP_H_
