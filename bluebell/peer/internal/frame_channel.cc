#include "bluebell/peer/internal/frame_channel.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "bluebell/telemetry/log_event.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;

constexpr std::size_t kMinReadBytes = 16U << 10U;
constexpr std::size_t kMaxReadBytes = 256U << 10U;
// The maximum number of frames in one write.
constexpr std::size_t kMaxFramesPerWrite = 64;

instant Now() {
  return std::chrono::steady_clock::now();
}

}  // namespace

frame_channel::frame_channel(asio::ip::tcp::socket socket,
                             std::string peer,
                             metrics_registry& metrics)
    : socket_(std::move(socket)),
      peer_(std::move(peer)),
      metrics_(metrics),
      last_received_(Now()),
      last_written_(last_received_) {}

void frame_channel::Start(frame_handler on_frame, close_handler on_close) {
  boost::system::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  on_frame_ = std::move(on_frame);
  on_close_ = std::move(on_close);
  open_ = true;
  Read();
}

void frame_channel::Read() {
  const std::size_t size =
      std::clamp(receive_buffer_.size(), kMinReadBytes, kMaxReadBytes);
  socket_.async_read_some(
      receive_buffer_.prepare(size),
      [self = shared_from_this()](const boost::system::error_code& failure,
                                  std::size_t count) {
        if (!self->open_) {
          return;
        }
        if (failure) {
          self->Fail(errc::kConnectionLost, failure.message());
          return;
        }
        self->receive_buffer_.commit(count);
        self->last_received_ = Now();
        while (self->open_ && self->HandleNextFrame()) {
        }
        if (self->open_) {
          self->Read();
        }
      });
}

bool frame_channel::HandleNextFrame() {
  const std::string_view bytes(
      static_cast<const char*>(receive_buffer_.cdata().data()),
      receive_buffer_.size());
  if (bytes.size() < kFrameHeaderBytes) {
    return false;
  }
  const result<frame_header> header = DecodeHeader(bytes);
  if (!header) {
    metrics_.Add(metric::kMessagesDropped, {"peer", "header"});
    Fail(errc::kMalformedMessage, header.error().detail());
    return false;
  }
  const std::size_t frame_bytes = kFrameHeaderBytes + header.value().body_bytes;
  if (bytes.size() < frame_bytes) {
    return false;
  }
  const result<frame> decoded =
      DecodeBody(header.value(),
                 bytes.substr(kFrameHeaderBytes, header.value().body_bytes));
  receive_buffer_.consume(frame_bytes);
  if (receive_buffer_.size() == 0 &&
      receive_buffer_.capacity() > kMaxReadBytes) {
    receive_buffer_.shrink_to_fit();
  }
  HandleDecoded(decoded);
  return true;
}

void frame_channel::HandleDecoded(const result<frame>& decoded) {
  if (decoded) {
    on_frame_(decoded.value());
    return;
  }
  const bool is_other_version =
      decoded.error().code() == errc::kUnsupportedVersion;
  metrics_.Add(metric::kMessagesDropped,
               {"peer", is_other_version ? "version" : "malformed"});
  if (const auto omitted = limiter_.Admit(Now())) {
    log_event(log_level::kWarn, "message from peer dropped")
        .With(error(decoded.error().code(), decoded.error().at(), peer_,
                    decoded.error().detail()))
        .With("omitted", *omitted)
        .Write();
  }
}

void frame_channel::Write(std::string encoded) {
  if (!open_) {
    return;
  }
  last_written_ = Now();
  backlog_bytes_ += encoded.size();
  send_queue_.push_back(std::move(encoded));
  if (frames_in_write_.empty()) {
    WriteQueuedFrames();
  }
}

void frame_channel::WriteQueuedFrames() {
  const auto count = static_cast<std::ptrdiff_t>(
      std::min(send_queue_.size(), kMaxFramesPerWrite));
  frames_in_write_.assign(std::make_move_iterator(send_queue_.begin()),
                          std::make_move_iterator(send_queue_.begin() + count));
  send_queue_.erase(send_queue_.begin(), send_queue_.begin() + count);
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(frames_in_write_.size());
  for (const std::string& encoded : frames_in_write_) {
    buffers.emplace_back(asio::buffer(encoded));
  }
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](const boost::system::error_code& failure,
                                  std::size_t count_written) {
        if (!self->open_) {
          return;
        }
        if (failure) {
          self->Fail(errc::kConnectionLost, failure.message());
          return;
        }
        self->backlog_bytes_ -= count_written;
        self->frames_in_write_.clear();
        if (!self->send_queue_.empty()) {
          self->WriteQueuedFrames();
        }
      });
}

void frame_channel::Fail(errc code, const std::string& detail) {
  const close_handler on_close = std::move(on_close_);
  Close();
  on_close(error(code, step::kReadReply, peer_, detail));
}

void frame_channel::Close() {
  if (!open_) {
    return;
  }
  open_ = false;
  boost::system::error_code ignored;
  socket_.close(ignored);
}

}  // namespace bluebell
