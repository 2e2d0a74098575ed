#include "bluebell/proxy/endpoint_connection_pool.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>
#include <boost/beast/http/write.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/byte_budget.h"
#include "bluebell/http/delivery_guard.h"
#include "bluebell/http/embedded_status_line.h"
#include "bluebell/http/message_head.h"
#include "bluebell/http/server_connection.h"
#include "bluebell/http/socket_options.h"
#include "bluebell/net/socket_address.h"
#include "bluebell/proxy/attempt_history.h"

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
constexpr std::size_t kMaxResponseBytes = 64U << 20U;
// The part of the memory of all responses that one may use, so that a single
// endless response doesn't make the others fail.
constexpr std::size_t kMaxResponsesPerBudget = 4;
// Large responses leave this part of the memory to small ones, which most
// responses are. Four callers that don't read would otherwise make all requests
// fail until they are disconnected.
constexpr std::size_t kReservesPerBudget = 64;
// A response is small up to this part of the memory, so that many of them fit
// into the reserve.
constexpr std::size_t kSmallResponsesPerBudget = 1'024;
constexpr std::uint32_t kMaxResponseHeaderBytes = 64U << 10U;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kFirstServerError = 500;
// An idle connection is closed this long before the end of the keep-alive time
// that the endpoint states.
constexpr milliseconds kKeepAliveMargin{1'500};
// Used if the endpoint states no keep-alive time.
constexpr milliseconds kDefaultKeepAlive{4'000};
constexpr milliseconds kMaxKeepAlive{8'000};
constexpr std::size_t kMaxIdlePerEndpoint = 8;

// True if an attempt with the same id can follow this response.
bool MayBeRepeated(unsigned status, const platform::endpoint_reply& reply) {
  const bool is_success = status < kFirstRedirect;
  return reply.not_run || status >= kFirstServerError ||
         (is_success && !reply.has_receipt);
}

// The responses that are being read or written leave no room for another.
boost::system::error_code NoMemory() {
  return boost::system::errc::make_error_code(
      boost::system::errc::not_enough_memory);
}

}  // namespace

struct endpoint_connection_pool::connection : server_connection {
  using server_connection::server_connection;

  attempt_history history;
  instant used_at;
  instant close_at;
};

endpoint_connection_pool::endpoint_connection_pool(
    asio::io_context& io,
    std::shared_ptr<byte_budget> memory)
    : io_(io), memory_(std::move(memory)) {}

endpoint_connection_pool::~endpoint_connection_pool() = default;

endpoint_connection_pool::connection_ptr endpoint_connection_pool::TakeIdle(
    const endpoint_instance& endpoint,
    const exchange_options& options,
    instant now) {
  const auto found = idle_.find(endpoint);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<connection_ptr>& idle = found->second;
  // The connection used last is the most likely to be still open.
  for (std::size_t end = idle.size();
       end > 0 && now - idle[end - 1]->used_at <= options.max_idle_time;
       --end) {
    if (!idle[end - 1]->history.MayCarry(options.attempt)) {
      continue;
    }
    connection_ptr last = std::move(idle[end - 1]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(end - 1));
    if (now < last->close_at && last->IsReusable()) {
      return last;
    }
  }
  return nullptr;
}

void endpoint_connection_pool::AddIdle(const endpoint_instance& endpoint,
                                       connection_ptr used,
                                       milliseconds keep_alive,
                                       instant now) {
  used->stream.expires_never();
  used->used_at = now;
  used->close_at = now + std::min(keep_alive, kMaxKeepAlive);
  std::vector<connection_ptr>& idle = idle_[endpoint];
  idle.push_back(std::move(used));
  if (idle.size() > kMaxIdlePerEndpoint) {
    idle.erase(idle.begin());
  }
}

void endpoint_connection_pool::CloseExpired(instant now) {
  for (auto& [endpoint, idle] : idle_) {
    std::erase_if(idle, [now](const connection_ptr& each) {
      return each->close_at <= now;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t endpoint_connection_pool::MaxResponseBytes() const {
  return memory_ ? std::min(kMaxResponseBytes,
                            memory_->limit() / kMaxResponsesPerBudget)
                 : kMaxResponseBytes;
}

bool endpoint_connection_pool::Reserve(byte_reservation& memory,
                                       std::size_t bytes) const {
  const std::size_t limit = memory_ ? memory_->limit() : 0;
  const bool is_small = bytes <= limit / kSmallResponsesPerBudget;
  return memory.GrowTo(bytes, is_small ? 0 : limit / kReservesPerBudget);
}

asio::awaitable<boost::system::error_code>
endpoint_connection_pool::ReadResponse(connection& link,
                                       response_parser& parser,
                                       byte_reservation& memory) {
  const std::size_t max_bytes = MaxResponseBytes();
  parser.header_limit(kMaxResponseHeaderBytes);
  parser.body_limit(max_bytes);
  const head_result head =
      co_await ReadHead<false>(link.stream, link.buffer, parser);
  if (head.failure) {
    co_return head.failure;
  }
  // The parser adds trailers to the header.
  std::optional<bhttp::fields> header;
  if (parser.chunked()) {
    header = parser.get();
  }
  // The parser allocates the stated length of a body at once.
  std::size_t received = head.size;
  if (const auto length = parser.content_length()) {
    if (!Reserve(memory, received + static_cast<std::size_t>(*length))) {
      co_return NoMemory();
    }
  }
  while (!parser.is_done()) {
    const auto [failure, size] = co_await bhttp::async_read_some(
        link.stream, link.buffer, parser, kAwait);
    if (failure) {
      co_return failure;
    }
    // Counts chunk headers and trailers too, which have no limit of their own.
    received += size;
    // A body without a stated length occupies up to twice its size.
    const std::size_t occupied =
        std::max(received, head.size + parser.get().body().capacity());
    if (received > max_bytes) {
      co_return bhttp::error::body_limit;
    }
    if (!Reserve(memory, occupied)) {
      co_return NoMemory();
    }
  }
  if (header) {
    static_cast<bhttp::fields&>(parser.get()) = std::move(*header);
  }
  co_return boost::system::error_code();
}

asio::awaitable<exchange_result> endpoint_connection_pool::Send(
    fleet_endpoint endpoint,
    http_request request,
    exchange_options options) {
  co_await asio::this_coro::throw_if_cancelled(false);
  const instant started = BootNow();
  const std::string peer =
      endpoint.instance.endpoint.value() + " " + endpoint.where.ToString();
  connection_ptr link = TakeIdle(endpoint.instance, options, started);
  if (!link) {
    link = std::make_unique<connection>(io_);
    ++opened_count_;
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
    SetSocketOptions(link->stream.socket());
  }
  if (options.send_by && BootNow() > *options.send_by) {
    co_return exchange_unsent{
        error(errc::kTimeout, step::kConnect, peer, "the permit has expired")};
  }
  link->history.Begin(options.attempt);
  // If this coroutine ends early, the connection is reset, so that the endpoint
  // stops its work.
  ResetOnClose(link->stream.socket());
  const duration time_left = options.deadline - BootNow();
  link->stream.expires_after(time_left);
  link->delivery->BeginWrite(request.body().size(), time_left);
  const auto [write_error, sent] =
      co_await bhttp::async_write(link->stream, request, kAwait);
  link->delivery->EndWrite();
  bool abandoned = false;
  const auto lost = [&](const boost::system::error_code& cause) {
    const bool timeout = abandoned || cause == beast::error::timeout;
    const errc code = timeout               ? errc::kTimeout
                      : cause == NoMemory() ? errc::kTooLarge
                                            : errc::kConnectionLost;
    return exchange_lost{error(code, step::kReadReply, peer, cause.message()),
                         BootNow() - started};
  };
  if (write_error) {
    co_return lost(write_error);
  }
  asio::steady_timer abandon_timer(io_);
  // The timer's handler may already be queued when this coroutine ends. The
  // handler uses the stream only as long as this pointer exists.
  const auto stream_guard = std::make_shared<beast::tcp_stream*>(&link->stream);
  if (options.abandon_check_at) {
    abandon_timer.expires_after(*options.abandon_check_at - BootNow());
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
    response_parser parser;
    parser.skip(request.method() == bhttp::verb::head);
    byte_reservation memory(memory_);
    const boost::system::error_code read_error =
        co_await ReadResponse(*link, parser, memory);
    if (read_error) {
      co_return lost(read_error);
    }
    const bool ends_with_connection = parser.need_eof();
    http_response response = parser.release();
    if (HasEmbeddedStatusLine(response)) {
      co_return exchange_lost{
          error(errc::kMalformedMessage, step::kReadReply, peer,
                "a status line within the head of a response"),
          BootNow() - started};
    }
    platform::endpoint_reply reply_info = platform::ReadEndpointReply(response);
    if (response.result_int() < kFirstFinalStatus) {
      continue;
    }
    const response_match match = link->history.Match(reply_info.attempt);
    if (match == response_match::kOther) {
      continue;
    }
    link->history.End(MayBeRepeated(response.result_int(), reply_info));
    abandon_timer.cancel();
    const instant now = BootNow();
    if (response.keep_alive() && !ends_with_connection &&
        link->buffer.size() == 0 && link->history.is_reusable()) {
      const milliseconds keep_alive_time =
          reply_info.keep_alive ? *reply_info.keep_alive - kKeepAliveMargin
                                : kDefaultKeepAlive;
      AddIdle(endpoint.instance, std::move(link), keep_alive_time, now);
    }
    co_return exchange_answered{std::move(response), std::move(reply_info),
                                match, now - started, std::move(memory)};
  }
  co_return exchange_lost{error(errc::kMalformedMessage, step::kReadReply, peer,
                                "only responses to other requests arrived"),
                          BootNow() - started};
}

}  // namespace bluebell
