// Encoding and decoding of messages between daemons as frames.
//
// A frame is a header of kFrameHeaderBytes (little endian: body length u32,
// magic u8, message type u8, version of the message type u8, exchange kind u8,
// correlation u64) and a body in cereal's portable binary form. A UDP datagram
// holds one frame.
//
//   result<std::string> bytes = EncodeFrame({exchange_kind::kRequest, 7,
//   query}); result<frame> read = DecodeFrame(bytes.value());

#ifndef BLUEBELL_WIRE_FRAME_H_
#define BLUEBELL_WIRE_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "bluebell/core/result.h"
#include "bluebell/wire/wire_message.h"

namespace bluebell {

inline constexpr std::size_t kFrameHeaderBytes = 16;

// Several times the largest value of the platform's store (1 MB), and more than
// the answers in a ledger (8 MB).
inline constexpr std::size_t kMaxFrameBodyBytes = 16U << 20U;

// A UDP datagram over IPv4 holds 65,507 bytes.
inline constexpr std::size_t kMaxDatagramBytes = 65'507;

enum class exchange_kind : std::uint8_t { kOneWay, kRequest, kResponse };

struct frame {
  exchange_kind kind = exchange_kind::kOneWay;
  // Matches a response to its request. Zero for one-way messages.
  std::uint64_t correlation = 0;
  wire_message message;

  friend bool operator==(const frame&, const frame&) = default;
};

struct frame_header {
  std::uint32_t body_bytes = 0;
  std::uint8_t type = 0;
  std::uint8_t version = 0;
  exchange_kind kind = exchange_kind::kOneWay;
  std::uint64_t correlation = 0;

  friend bool operator==(const frame_header&, const frame_header&) = default;
};

// Fails with errc::kTooLarge if the message exceeds the bound of its type.
result<std::string> EncodeFrame(const frame& source);

// Reads the first kFrameHeaderBytes of `bytes`. Fails with
// errc::kMalformedMessage or errc::kTooLarge. The end of the frame is then
// unknown, and the connection must be closed.
result<frame_header> DecodeHeader(std::string_view bytes);

// Reads the body of a frame. Fails with errc::kUnsupportedVersion for a type or
// version that this program doesn't know, errc::kTooLarge for a body that
// exceeds the bound of its type, and errc::kMalformedMessage for any other
// error. Memory use is at most a small multiple of the bytes present.
result<frame> DecodeBody(const frame_header& header, std::string_view body);

// Reads a frame that consists of all of `bytes`. Fails like DecodeHeader() and
// DecodeBody().
result<frame> DecodeFrame(std::string_view bytes);

// The name of a message type for logs and counters, for example "heartbeat".
std::string_view NameOf(const wire_message& message);

}  // namespace bluebell

#endif  // BLUEBELL_WIRE_FRAME_H_
