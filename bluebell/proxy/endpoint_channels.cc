#include "bluebell/proxy/endpoint_channels.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/beast/http/write.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/http/socket_options.h"
#include "bluebell/net/socket_address.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// An endpoint accepts a connection within a millisecond, and a lost packet is
// sent again only after a second, so a longer timeout gains nothing.
constexpr milliseconds kConnectTimeout{350};
// The number of stale or interim responses that may precede the response.
constexpr int kMaxSkippedResponses = 2;
constexpr std::uint64_t kMaxResponseBytes = 64U << 20U;
constexpr int kFirstFinalStatus = 200;
// An idle connection is closed this long before the end of the keep-alive time
// that the endpoint states.
constexpr milliseconds kKeepAliveMargin{1'500};
// Used if the endpoint states no keep-alive time.
constexpr milliseconds kDefaultKeepAlive{4'000};
constexpr milliseconds kMaxKeepAlive{8'000};
constexpr std::size_t kMaxIdlePerEndpoint = 8;

}  // namespace

struct endpoint_channels::channel {
  explicit channel(asio::io_context& io) : stream(io) {}
  channel(const channel&) = delete;
  channel& operator=(const channel&) = delete;
  // The destructor of an Asio socket clears the linger option first, and the
  // connection would not be reset on close.
  ~channel() { stream.close(); }

  // False if the endpoint has closed the connection or sent unexpected bytes.
  bool IsQuiet() {
    return buffer.size() == 0 &&
           PeekInput(stream.socket()) == socket_input::kNone;
  }

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  instant used_at;
  instant close_at;
};

endpoint_channels::endpoint_channels(asio::io_context& io) : io_(io) {}

endpoint_channels::~endpoint_channels() = default;

endpoint_channels::channel_ptr endpoint_channels::TakeIdle(
    const endpoint_instance& endpoint,
    milliseconds longest_idle,
    instant now) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<channel_ptr>& idle = found->second;
  while (!idle.empty()) {
    // The connection used last is the most likely to be still open.
    if (now - idle.back()->used_at > longest_idle) {
      return nullptr;
    }
    channel_ptr last = std::move(idle.back());
    idle.pop_back();
    if (now < last->close_at && last->IsQuiet()) {
      return last;
    }
  }
  return nullptr;
}

void endpoint_channels::Keep(const endpoint_instance& endpoint,
                             channel_ptr used,
                             milliseconds keep_alive,
                             instant now) {
  used->stream.expires_never();
  used->used_at = now;
  used->close_at = now + std::min(keep_alive, kMaxKeepAlive);
  std::vector<channel_ptr>& idle = idle_[endpoint];
  idle.push_back(std::move(used));
  if (idle.size() > kMaxIdlePerEndpoint) {
    idle.erase(idle.begin());
  }
}

void endpoint_channels::DropIdle(instant now) {
  for (auto& [endpoint, idle] : idle_) {
    std::erase_if(
        idle, [now](const channel_ptr& each) { return each->close_at <= now; });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

asio::awaitable<exchange_end> endpoint_channels::Send(
    fleet_endpoint endpoint,
    http_request request,
    exchange_options options) {
  co_await asio::this_coro::throw_if_cancelled(false);
  const instant started = BootNow();
  const std::string peer =
      endpoint.instance.endpoint.value() + " " + endpoint.where.ToString();
  channel_ptr link = TakeIdle(endpoint.instance, options.longest_idle, started);
  if (!link) {
    link = std::make_unique<channel>(io_);
    ++opened_;
    const auto target = ToSocketAddress<tcp>(endpoint.where, step::kConnect);
    if (!target) {
      co_return exchange_unsent{target.error()};
    }
    link->stream.expires_after(
        std::min<duration>(kConnectTimeout, options.deadline - started));
    const auto [failure] =
        co_await link->stream.async_connect(target.value(), kAwait);
    if (failure) {
      co_return exchange_unsent{
          error(errc::kUnavailable, step::kConnect, peer, failure.message())};
    }
    PrepareSocket(link->stream.socket());
  }
  // If this coroutine ends early, the connection is reset, so that the endpoint
  // stops its work.
  ResetOnClose(link->stream.socket());
  link->stream.expires_after(options.deadline - BootNow());
  const auto [write_error, sent] =
      co_await bhttp::async_write(link->stream, request, kAwait);
  bool abandoned = false;
  const auto lost = [&](const boost::system::error_code& why) {
    const bool timeout = abandoned || why == beast::error::timeout;
    const errc code = timeout ? errc::kTimeout : errc::kConnectionLost;
    return exchange_lost{error(code, step::kReadReply, peer, why.message()),
                         BootNow() - started};
  };
  if (write_error) {
    co_return lost(write_error);
  }
  asio::steady_timer abandon_timer(io_);
  // The timer's handler may already be queued when this coroutine ends. The
  // handler uses the stream only as long as this pointer exists.
  const auto stream_guard = std::make_shared<beast::tcp_stream*>(&link->stream);
  if (options.overdue) {
    abandon_timer.expires_after(*options.overdue - BootNow());
    abandon_timer.async_wait(
        [&abandoned, &options, stream_watch = std::weak_ptr(stream_guard)](
            boost::system::error_code cancelled) {
          const auto stream = stream_watch.lock();
          if (!cancelled && stream && options.may_abandon()) {
            abandoned = true;
            (*stream)->cancel();
          }
        });
  }
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    bhttp::response_parser<bhttp::string_body> parser;
    parser.body_limit(kMaxResponseBytes);
    parser.skip(request.method() == bhttp::verb::head);
    const auto [read_error, read] =
        co_await bhttp::async_read(link->stream, link->buffer, parser, kAwait);
    if (read_error) {
      co_return lost(read_error);
    }
    const bool ends_with_connection = parser.need_eof();
    http_response response = parser.release();
    platform::endpoint_reply about = platform::ReadEndpointReply(response);
    const bool stale = !about.attempt.empty() && !options.attempt.empty() &&
                       about.attempt != options.attempt;
    if (stale || response.result_int() < kFirstFinalStatus) {
      continue;
    }
    abandon_timer.cancel();
    const instant now = BootNow();
    if (response.keep_alive() && !ends_with_connection &&
        link->buffer.size() == 0) {
      const milliseconds keep_alive_time =
          about.keep_alive ? *about.keep_alive - kKeepAliveMargin
                           : kDefaultKeepAlive;
      Keep(endpoint.instance, std::move(link), keep_alive_time, now);
    }
    co_return exchange_answered{std::move(response), std::move(about),
                                now - started};
  }
  co_return exchange_lost{error(errc::kMalformedMessage, step::kReadReply, peer,
                                "only responses to other requests arrived"),
                          BootNow() - started};
}

}  // namespace bluebell
