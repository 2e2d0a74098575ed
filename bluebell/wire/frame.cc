#include "bluebell/wire/frame.h"

#include <array>
#include <exception>
#include <istream>
#include <sstream>
#include <type_traits>
#include <utility>
#include <variant>

#include <boost/endian/conversion.hpp>
#include <boost/interprocess/streams/bufferstream.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/variant.hpp>

#include "bluebell/wire/internal/bounded_archive.h"
#include "bluebell/wire/internal/value_archives.h"

namespace bluebell {

namespace {

constexpr std::uint8_t kMagic = 0xB5;
constexpr std::size_t kMagicOffset = 4;
constexpr std::size_t kTypeOffset = 5;
constexpr std::size_t kVersionOffset = 6;
constexpr std::size_t kKindOffset = 7;
constexpr std::size_t kCorrelationOffset = 8;

constexpr std::size_t kMessageTypes = std::variant_size_v<wire_message>;

struct message_type {
  std::string_view name;
  std::uint8_t version;
  std::size_t max_body_bytes;
};

constexpr std::size_t kMaxSmallBodyBytes = 16U << 10U;

// In the order of `wire_message`. The version of a type is increased with every
// change of its fields.
constexpr std::array<message_type, kMessageTypes> kTypes = {{
    {"heartbeat", 1, kMaxDatagramBytes - kFrameHeaderBytes},
    {"forward_request", 1, kMaxFrameBodyBytes},
    {"forward_reply", 1, kMaxFrameBodyBytes},
    {"request_query", 1, kMaxSmallBodyBytes},
    {"query_reply", 1, kMaxFrameBodyBytes},
    {"ledger_transfer", 1, kMaxFrameBodyBytes},
    {"ledger_transfer_reply", 1, kMaxSmallBodyBytes},
    {"state_request", 1, kMaxSmallBodyBytes},
    {"state_reply", 1, kMaxFrameBodyBytes},
    {"pressure_update", 1, kMaxSmallBodyBytes},
    {"link_probe", 1, kMaxSmallBodyBytes},
    {"permit_ask", 2, kMaxSmallBodyBytes},
    {"permit_granted", 3, kMaxSmallBodyBytes},
    {"permit_queued", 1, kMaxSmallBodyBytes},
    {"permit_refused", 1, kMaxSmallBodyBytes},
    {"permit_end", 2, kMaxSmallBodyBytes},
    {"permit_report", 1, kMaxDatagramBytes - kFrameHeaderBytes},
    {"permit_report_ack", 1, kMaxSmallBodyBytes},
    {"coordinator_claim", 1, kMaxSmallBodyBytes},
    {"coordinator_yield", 2, kMaxSmallBodyBytes},
    {"endpoint_leaving", 1, kMaxSmallBodyBytes},
    {"fleet_update_request", 1, kMaxSmallBodyBytes},
    {"fleet_update", 1, kMaxDatagramBytes - kFrameHeaderBytes},
}};

error Failure(errc code, std::string detail) {
  return {code, step::kDecodeMessage, "", std::move(detail)};
}

std::uint8_t ByteAt(std::string_view bytes, std::size_t position) {
  return static_cast<std::uint8_t>(bytes[position]);
}

std::array<unsigned char, kFrameHeaderBytes> EncodeHeader(
    const frame_header& header) {
  std::array<unsigned char, kFrameHeaderBytes> bytes{};
  boost::endian::store_little_u32(bytes.data(), header.body_bytes);
  bytes[kMagicOffset] = kMagic;
  bytes[kTypeOffset] = header.type;
  bytes[kVersionOffset] = header.version;
  bytes[kKindOffset] = static_cast<std::uint8_t>(header.kind);
  boost::endian::store_little_u64(bytes.data() + kCorrelationOffset,
                                  header.correlation);
  return bytes;
}

std::string EncodeBody(const wire_message& message) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(
        stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    std::visit([&](const auto& body) { archive(body); }, message);
  }
  return std::move(stream).str();
}

// Loads the alternative with the index `type`, which must be in range.
template <std::size_t Index = 0>
wire_message LoadAlternative(std::size_t type,
                             cereal::PortableBinaryInputArchive& archive) {
  if constexpr (Index + 1 < kMessageTypes) {
    if (type != Index) {
      return LoadAlternative<Index + 1>(type, archive);
    }
  }
  std::variant_alternative_t<Index, wire_message> body;
  archive(body);
  return body;
}

result<wire_message> LoadMessage(std::size_t type, std::string_view bytes) {
  try {
    boost::interprocess::ibufferstream stream(bytes.data(), bytes.size());
    cereal::PortableBinaryInputArchive archive(
        stream, cereal::PortableBinaryInputArchive::Options::LittleEndian());
    wire_message message = LoadAlternative(type, archive);
    if (stream.peek() != std::istream::traits_type::eof()) {
      return Failure(errc::kMalformedMessage, "bytes after the last field");
    }
    return message;
  } catch (const std::exception& failure) {
    // cereal reports malformed input by exceptions.
    return Failure(errc::kMalformedMessage, failure.what());
  }
}

}  // namespace

result<std::string> EncodeFrame(const frame& source) {
  const message_type& type = kTypes.at(source.message.index());
  std::string body = EncodeBody(source.message);
  if (body.size() > type.max_body_bytes) {
    return Failure(errc::kTooLarge, std::string(type.name) + " of " +
                                        std::to_string(body.size()) + " bytes");
  }
  const auto header =
      EncodeHeader({static_cast<std::uint32_t>(body.size()),
                    static_cast<std::uint8_t>(source.message.index()),
                    type.version, source.kind, source.correlation});
  body.insert(body.begin(), header.begin(), header.end());
  return body;
}

result<frame_header> DecodeHeader(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) {
    return Failure(errc::kMalformedMessage, "header is incomplete");
  }
  if (ByteAt(bytes, kMagicOffset) != kMagic) {
    return Failure(errc::kMalformedMessage, "not a frame of this protocol");
  }
  std::array<unsigned char, kFrameHeaderBytes> copy{};
  bytes.copy(reinterpret_cast<char*>(copy.data()), copy.size());
  const std::uint32_t body_bytes = boost::endian::load_little_u32(copy.data());
  if (body_bytes > kMaxFrameBodyBytes) {
    return Failure(errc::kTooLarge,
                   "frame of " + std::to_string(body_bytes) + " bytes");
  }
  const std::uint8_t kind = copy[kKindOffset];
  if (kind > static_cast<std::uint8_t>(exchange_kind::kResponse)) {
    return Failure(errc::kMalformedMessage, "unknown exchange kind");
  }
  return frame_header{
      body_bytes, copy[kTypeOffset], copy[kVersionOffset],
      static_cast<exchange_kind>(kind),
      boost::endian::load_little_u64(copy.data() + kCorrelationOffset)};
}

result<frame> DecodeBody(const frame_header& header, std::string_view body) {
  if (header.type >= kMessageTypes) {
    return Failure(errc::kUnsupportedVersion,
                   "message type " + std::to_string(header.type));
  }
  const message_type& type = kTypes.at(header.type);
  if (header.version != type.version) {
    return Failure(
        errc::kUnsupportedVersion,
        std::string(type.name) + " version " + std::to_string(header.version));
  }
  if (body.size() != header.body_bytes) {
    return Failure(errc::kMalformedMessage, "body length differs from header");
  }
  if (body.size() > type.max_body_bytes) {
    return Failure(errc::kTooLarge, std::string(type.name) + " of " +
                                        std::to_string(body.size()) + " bytes");
  }
  result<wire_message> message = LoadMessage(header.type, body);
  if (!message) {
    return message.error();
  }
  return frame{header.kind, header.correlation, std::move(message).value()};
}

result<frame> DecodeFrame(std::string_view bytes) {
  const result<frame_header> header = DecodeHeader(bytes);
  if (!header) {
    return header.error();
  }
  return DecodeBody(header.value(), bytes.substr(kFrameHeaderBytes));
}

std::string_view NameOf(const wire_message& message) {
  return kTypes.at(message.index()).name;
}

}  // namespace bluebell
