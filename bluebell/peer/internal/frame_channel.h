// Sends and receives frames over one TCP connection. Used by both ends of a
// link. All functions and handlers run on the thread of the socket's
// io_context.

#ifndef BLUEBELL_PEER_INTERNAL_FRAME_CHANNEL_H_
#define BLUEBELL_PEER_INTERNAL_FRAME_CHANNEL_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "bluebell/core/error.h"
#include "bluebell/core/time.h"
#include "bluebell/runtime/log_limiter.h"
#include "bluebell/telemetry/metrics_registry.h"
#include "bluebell/wire/frame.h"

namespace bluebell {

class frame_channel : public std::enable_shared_from_this<frame_channel> {
 public:
  using frame_handler = std::function<void(frame)>;
  using close_handler = std::function<void(const error&)>;

  // `peer` names the other end in errors and log lines.
  frame_channel(boost::asio::ip::tcp::socket socket,
                std::string peer,
                metrics_registry& metrics);

  // Calls `on_frame` for each frame that can be decoded, and `on_close` once if
  // the connection ends other than by Close().
  void Start(frame_handler on_frame, close_handler on_close);

  // Queues an encoded frame. Has no effect on a closed channel.
  void Write(std::string encoded);
  void Close();

  bool open() const { return open_; }
  const std::string& peer() const { return peer_; }
  // Bytes that are queued and not yet written.
  std::size_t backlog_bytes() const { return backlog_bytes_; }
  instant last_received() const { return last_received_; }
  instant last_written() const { return last_written_; }

 private:
  void Read();
  bool HandleNextFrame();
  void HandleDecoded(const result<frame>& decoded);
  void WriteQueuedFrames();
  void Fail(errc code, const std::string& detail);

  boost::asio::ip::tcp::socket socket_;
  std::string peer_;
  metrics_registry& metrics_;
  frame_handler on_frame_;
  close_handler on_close_;
  boost::beast::flat_buffer receive_buffer_;
  std::deque<std::string> send_queue_;
  std::vector<std::string> frames_in_write_;
  std::size_t backlog_bytes_ = 0;
  instant last_received_;
  instant last_written_;
  log_limiter limiter_;
  bool open_ = false;
};

}  // namespace bluebell

#endif  // BLUEBELL_PEER_INTERNAL_FRAME_CHANNEL_H_
