#include "bluebell/proxy/caller_connection.h"

#include <algorithm>
#include <exception>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "bluebell/core/boot_clock.h"
#include "bluebell/core/byte_budget.h"
#include "bluebell/http/delivery_guard.h"
#include "bluebell/http/message_head.h"
#include "bluebell/http/socket_options.h"
#include "bluebell/net/task.h"
#include "bluebell/telemetry/log_event.h"
#include "platform/proxy_headers.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using asio::ip::tcp;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

constexpr unsigned kBadRequest = 400;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kHeaderTooLarge = 431;
constexpr unsigned kNotImplemented = 501;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
// The time from the end of a request's header to the end of its body.
constexpr seconds kBodyTimeout{20};
// The time within which the caller has to take a response.
constexpr seconds kWriteTimeout{20};
// How long input is discarded after the last response, until the caller closes.
constexpr milliseconds kCloseTimeout{1'000};
// How often a connection whose input buffer is full is checked for its end.
constexpr milliseconds kCloseCheckInterval{250};
constexpr std::size_t kFirstReadBytes = 4'096;
// The most bytes that are read ahead while a request waits for those before it.
constexpr std::size_t kMaxReadAheadBytes = 64U << 10U;
// Limits the unparsed input of a connection, for example a chunk header
// without an end.
constexpr std::size_t kMaxBufferedBytes = 256U << 10U;
// A request is forwarded as a copy.
constexpr std::size_t kCopiesOfRequest = 2;
// The bytes of a chunked body may be this many times those of its content.
constexpr std::uint64_t kMaxChunkOverhead = 2;
constexpr milliseconds kMemoryRetryAfter{500};

bool IsMalformed(const boost::system::error_code& failure) {
  return failure.category() ==
             bhttp::make_error_code(bhttp::error::bad_method).category() &&
         failure != bhttp::error::end_of_stream &&
         failure != bhttp::error::partial_message;
}

}  // namespace

struct caller_connection::served_request {
  http_request request;
  byte_reservation memory;
  asio::cancellation_signal cancel;
};

caller_connection::caller_connection(
    tcp::socket socket,
    std::shared_ptr<const caller_request_handler> handler,
    std::shared_ptr<shared_connection_state> state)
    : stream_(std::move(socket)),
      buffer_(kMaxBufferedBytes),
      handler_(std::move(handler)),
      shared_state_(std::move(state)),
      progress_timer_(stream_.get_executor()),
      read_timer_(stream_.get_executor()) {
  SetSocketOptions(stream_.socket());
}

caller_connection::~caller_connection() {
  if (counted_as_busy_) {
    --shared_state_->busy_count;
  }
}

void caller_connection::Start() {
  delivery_ = delivery_guard::Make(stream_.socket(),
                                   {[weak = weak_from_this()] {
                                      if (const auto self = weak.lock()) {
                                        self->Abort();
                                      }
                                    },
                                    [weak = weak_from_this()] {
                                      if (const auto self = weak.lock()) {
                                        self->OnDelivered();
                                      }
                                    }});
  // The handler keeps this object alive as long as the coroutine runs.
  SpawnTask(stream_.get_executor(), "caller connection", Run(),
            [self = shared_from_this()] { self->Abort(); });
}

void caller_connection::CloseIfIdle() {
  if (is_delivering()) {
    closes_when_delivered_ = true;
    return;
  }
  const bool is_idle = !has_request_ && pipeline_.empty() && !closes_ &&
                       buffer_.size() == 0 &&
                       PeekInput(stream_.socket()) != socket_input::kBytes;
  if (is_idle) {
    boost::system::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
  }
}

asio::awaitable<void> caller_connection::Run() {
  while (!pipeline_.closing() && co_await ReadNextRequest()) {
  }
  has_request_ = false;
  closes_ = true;
  UpdateBusy();
  co_await WaitUntil([this] {
    buffer_.consume(buffer_.size());
    // After the socket is closed, the kernel would give up a slow reader.
    return pipeline_.empty() && !writer_runs_ && !is_delivering();
  });
  if (!aborted_) {
    co_await CloseInOrder();
  }
  read_timer_.cancel();
  stream_.close();
  UpdateBusy();
}

asio::awaitable<bool> caller_connection::ReadNextRequest() {
  has_request_ = false;
  if (!co_await WaitForInput()) {
    co_return false;
  }
  has_request_ = true;
  const instant arrived = BootNow();
  request_parser parser;
  byte_reservation memory(shared_state_->request_memory);
  const boost::system::error_code failure =
      co_await ReadRequest(parser, memory);
  read_timer_.cancel();
  if (failure) {
    EndUnreadRequest(failure);
    co_return false;
  }
  if (buffer_.size() == 0 &&
      PeekInput(stream_.socket()) == socket_input::kEnd) {
    // On a busy host the request may be read long after the caller closed the
    // connection. It isn't sent to an endpoint then.
    Abort();
    co_return false;
  }
  const bool idempotent = handler_->is_idempotent(parser.get());
  const auto may_proceed = [this, idempotent] {
    return pipeline_.closing() ||
           pipeline_.CanStart(idempotent, shared_state_->stopping);
  };
  if (!co_await WaitUntil(may_proceed) || pipeline_.closing()) {
    co_return false;
  }
  caller_closes_ = !parser.keep_alive();
  StartServing(parser.release(), std::move(memory), arrived);
  co_return !caller_closes_;
}

asio::awaitable<bool> caller_connection::WaitForInput() {
  if (buffer_.size() > 0) {
    co_return true;
  }
  LimitReadTime(shared_state_->bounds.idle_timeout);
  stream_.expires_never();
  const auto [failure, size] = co_await stream_.async_read_some(
      buffer_.prepare(kFirstReadBytes), kAwait);
  read_timer_.cancel();
  if (failure) {
    // The last response ends the read too.
    if (!pipeline_.closing()) {
      Abort();
    }
    co_return false;
  }
  buffer_.commit(size);
  co_return true;
}

asio::awaitable<boost::system::error_code> caller_connection::ReadRequest(
    request_parser& parser,
    byte_reservation& memory) {
  parser.header_limit(shared_state_->bounds.max_header_bytes);
  parser.body_limit(shared_state_->bounds.max_body_bytes);
  LimitReadTime(shared_state_->bounds.header_timeout);
  stream_.expires_never();
  const head_result head = co_await ReadHead<true>(stream_, buffer_, parser);
  if (head.failure) {
    co_return head.failure;
  }
  // The parser allocates the stated length of a body at once.
  const std::size_t length =
      static_cast<std::size_t>(parser.content_length().value_or(0));
  if (!memory.GrowTo(kCopiesOfRequest * (head.size + length))) {
    co_return boost::system::errc::make_error_code(
        boost::system::errc::not_enough_memory);
  }
  if (parser.is_done()) {
    co_return boost::system::error_code();
  }
  if (beast::iequals(parser.get()[bhttp::field::expect], "100-continue")) {
    // An interim response must not precede the responses to earlier requests.
    if (!co_await WaitUntil([this] { return pipeline_.empty(); })) {
      co_return asio::error::operation_aborted;
    }
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    co_await asio::async_write(
        stream_, asio::buffer(kContinue.data(), kContinue.size()), kAwait);
  }
  // The parser adds trailers to the header. They come too late to say where a
  // request goes, and aren't passed on.
  std::optional<bhttp::fields> header;
  if (parser.chunked()) {
    header = parser.get();
  }
  const boost::system::error_code failure =
      co_await ReadBody(parser, memory, head.size);
  if (header) {
    static_cast<bhttp::fields&>(parser.get()) = std::move(*header);
  }
  co_return failure;
}

asio::awaitable<boost::system::error_code> caller_connection::ReadBody(
    request_parser& parser,
    byte_reservation& memory,
    std::size_t header_bytes) {
  LimitReadTime(kBodyTimeout);
  const std::uint64_t max_bytes =
      shared_state_->bounds.max_header_bytes +
      kMaxChunkOverhead * shared_state_->bounds.max_body_bytes +
      kMaxBufferedBytes;
  std::uint64_t received = header_bytes;
  while (!parser.is_done()) {
    stream_.expires_never();
    const auto [failure, size] =
        co_await bhttp::async_read_some(stream_, buffer_, parser, kAwait);
    if (failure) {
      co_return failure;
    }
    // Counts chunk headers and trailers too, which have no limit of their own.
    received += size;
    if (received > max_bytes) {
      co_return bhttp::error::body_limit;
    }
    if (!memory.GrowTo(kCopiesOfRequest *
                       (header_bytes + parser.get().body().size()))) {
      co_return boost::system::errc::make_error_code(
          boost::system::errc::not_enough_memory);
    }
  }
  co_return boost::system::error_code();
}

void caller_connection::EndUnreadRequest(
    const boost::system::error_code& failure) {
  if (pipeline_.closing()) {
    // The caller sends the request again.
    return;
  }
  if (failure == boost::system::errc::not_enough_memory) {
    AddClosingResponse(platform::MakeRouterResponse(
        kUnavailable, "too many requests at the same time", {},
        kMemoryRetryAfter));
    return;
  }
  const bool unknown_coding = failure == boost::system::errc::not_supported;
  if (!IsMalformed(failure) && !unknown_coding) {
    // The caller has closed the connection, or it failed.
    Abort();
    return;
  }
  unsigned status = kBadRequest;
  if (failure == bhttp::error::body_limit) {
    status = kContentTooLarge;
  } else if (failure == bhttp::error::header_limit ||
             failure == bhttp::error::buffer_overflow) {
    status = kHeaderTooLarge;
  } else if (unknown_coding) {
    status = kNotImplemented;
  }
  log_event(log_level::kWarn, "malformed request refused")
      .With("status", status)
      .Write();
  AddClosingResponse(platform::MakeRouterResponse(status, "malformed request",
                                                  {}, std::nullopt));
}

asio::awaitable<bool> caller_connection::WaitUntil(
    std::function<bool()> condition) {
  using asio::experimental::awaitable_operators::operator||;
  while (!condition() && !aborted_) {
    bool has_left = false;
    if (buffer_.size() < kMaxReadAheadBytes) {
      co_await (stream_.socket().async_wait(tcp::socket::wait_read, kAwait) ||
                WaitForProgress(duration::max()));
      has_left = !aborted_ && !ReadAvailable();
    } else {
      co_await WaitForProgress(kCloseCheckInterval);
      has_left = !aborted_ && PeerHasClosed(stream_.socket());
    }
    if (has_left) {
      Abort();
    }
  }
  co_return !aborted_;
}

asio::awaitable<void> caller_connection::WaitForProgress(duration max_wait) {
  progress_timer_.expires_at(max_wait == duration::max()
                                 ? asio::steady_timer::time_point::max()
                                 : asio::steady_timer::clock_type::now() +
                                       max_wait);
  co_await progress_timer_.async_wait(kAwait);
}

bool caller_connection::ReadAvailable() {
  tcp::socket& socket = stream_.socket();
  switch (PeekInput(socket)) {
    case socket_input::kNone:
      return true;
    case socket_input::kEnd:
      return false;
    case socket_input::kBytes:
      break;
  }
  boost::system::error_code failure;
  const std::size_t room = kMaxReadAheadBytes - buffer_.size();
  const std::size_t size = socket.read_some(buffer_.prepare(room), failure);
  buffer_.commit(size);
  return !failure || failure == asio::error::would_block;
}

void caller_connection::StartServing(http_request request,
                                     byte_reservation memory,
                                     instant arrived) {
  const std::uint64_t number = pipeline_.Start(request.keep_alive());
  const auto served = std::make_shared<served_request>();
  served->request = std::move(request);
  served->memory = std::move(memory);
  served_requests_.emplace(number, served);
  UpdateBusy();
  asio::co_spawn(
      stream_.get_executor(), handler_->serve(served->request, arrived),
      asio::bind_cancellation_slot(
          served->cancel.slot(),
          [self = shared_from_this(), number, served](
              const std::exception_ptr& failure, served_response response) {
            if (failure) {
              ReportUnexpected("request", failure);
              // The request may have run.
              response.response = platform::MakeRouterResponse(
                  kBadGateway, "unexpected error", {}, std::nullopt);
            }
            self->OnServed(number, std::move(response));
          }));
}

void caller_connection::OnServed(std::uint64_t number, served_response served) {
  served_requests_.erase(number);
  if (!aborted_) {
    pipeline_.Finish(number, std::move(served));
    WriteResponses();
  }
  UpdateBusy();
  progress_timer_.cancel();
}

void caller_connection::AddClosingResponse(http_response response) {
  pipeline_.Finish(pipeline_.Start(false), {std::move(response), {}});
  UpdateBusy();
  WriteResponses();
}

void caller_connection::WriteResponses() {
  if (!std::exchange(writer_runs_, true)) {
    SpawnTask(stream_.get_executor(), "response writer", WriteDueResponses(),
              [self = shared_from_this()] { self->Abort(); });
  }
}

asio::awaitable<void> caller_connection::WriteDueResponses() {
  const auto self = shared_from_this();
  while (!aborted_) {
    auto next = pipeline_.TakeNext(shared_state_->stopping);
    if (!next) {
      break;
    }
    const bool written = co_await Write(*next);
    if (is_delivering()) {
      undelivered_memory_.push_back(std::move(next->served.memory));
    }
    next.reset();
    pipeline_.OnWritten();
    last_written_at_ = BootNow();
    if (!written) {
      Abort();
    }
    progress_timer_.cancel();
  }
  writer_runs_ = false;
  UpdateBusy();
  progress_timer_.cancel();
  if (pipeline_.empty() && pipeline_.closing() && !closes_ && !aborted_) {
    // Ends the read of a request that can't be served any more.
    stream_.socket().cancel();
  }
}

asio::awaitable<bool> caller_connection::Write(
    request_pipeline::next_response& next) {
  http_response& response = next.served.response;
  response.keep_alive(next.keep_open);
  response.prepare_payload();
  stream_.expires_after(kWriteTimeout);
  delivery_->BeginWrite(response.body().size(), kWriteTimeout);
  const auto [failure, size] =
      co_await bhttp::async_write(stream_, response, kAwait);
  delivery_->EndWrite();
  co_return !failure;
}

asio::awaitable<void> caller_connection::CloseInOrder() {
  boost::system::error_code failure;
  stream_.socket().shutdown(tcp::socket::shutdown_send, failure);
  if (caller_closes_ && buffer_.size() == 0 &&
      PeekInput(stream_.socket()) != socket_input::kBytes) {
    co_return;
  }
  const instant closes_at = BootNow() + kCloseTimeout;
  while (!failure && BootNow() < closes_at) {
    buffer_.consume(buffer_.size());
    stream_.expires_after(closes_at - BootNow());
    const auto [read_error, size] = co_await stream_.async_read_some(
        buffer_.prepare(kFirstReadBytes), kAwait);
    failure = read_error;
  }
}

void caller_connection::Abort() {
  if (std::exchange(aborted_, true)) {
    return;
  }
  // A cancelled request may end at once and remove itself.
  std::vector<std::shared_ptr<served_request>> cancelled;
  for (const auto& [number, request] : served_requests_) {
    cancelled.push_back(request);
  }
  for (const auto& request : cancelled) {
    request->cancel.emit(asio::cancellation_type::terminal);
  }
  delivery_->Stop();
  undelivered_memory_.clear();
  stream_.close();
  progress_timer_.cancel();
}

bool caller_connection::is_delivering() const {
  return delivery_ && delivery_->is_active();
}

void caller_connection::OnDelivered() {
  undelivered_memory_.clear();
  last_written_at_ = BootNow();
  UpdateBusy();
  progress_timer_.cancel();
  if (closes_when_delivered_) {
    CloseIfIdle();
  }
}

void caller_connection::LimitReadTime(duration limit) {
  read_limit_ = limit;
  ScheduleReadTimeout(BootNow() + limit);
}

void caller_connection::ScheduleReadTimeout(instant time) {
  read_timer_.expires_after(
      std::max<duration>(time - BootNow(), milliseconds(1)));
  read_timer_.async_wait(
      [weak = weak_from_this()](boost::system::error_code cancelled) {
        const auto self = weak.lock();
        if (!cancelled && self) {
          self->CheckReadTime(BootNow());
        }
      });
}

void caller_connection::CheckReadTime(instant now) {
  const bool waits_for_caller = pipeline_.empty() && !is_delivering();
  const instant due = (waits_for_caller ? last_written_at_ : now) + read_limit_;
  if (now < due) {
    ScheduleReadTimeout(due);
  } else {
    Abort();
  }
}

void caller_connection::UpdateBusy() {
  const bool is_open = stream_.socket().is_open() && !aborted_;
  const bool busy = !served_requests_.empty() ||
                    (is_open && (!pipeline_.empty() || pipeline_.closing() ||
                                 closes_ || is_delivering()));
  if (busy != counted_as_busy_) {
    counted_as_busy_ = busy;
    shared_state_->busy_count += busy ? 1 : 0;
    shared_state_->busy_count -= busy ? 0 : 1;
  }
}

}  // namespace bluebell
