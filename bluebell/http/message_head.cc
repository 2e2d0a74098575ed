#include "bluebell/http/message_head.h"

#include <algorithm>
#include <cstdint>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include "bluebell/http/message_framing.h"

namespace bluebell {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kMaxReadBytes = 64U << 10U;

// True if a line of `head` continues the one before. The parser joins the two;
// other readers take the second for a field of its own. It uses up a field with
// all its lines at once, so no fold is between two calls.
bool HasFoldedLine(std::string_view head) {
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

boost::system::error_code FramingError(message_framing framing) {
  switch (framing) {
    case message_framing::kClear:
      break;
    case message_framing::kUnknownCoding:
      return boost::system::errc::make_error_code(
          boost::system::errc::not_supported);
    case message_framing::kAmbiguous:
      return bhttp::error::bad_transfer_encoding;
    case message_framing::kImpossibleStatus:
      return bhttp::error::bad_status;
  }
  return {};
}

// The parser accepts any character in a quoted value, so that other readers may
// take a LF there for the end of the line.
void CheckChunkHeader(std::uint64_t /*size*/,
                      beast::string_view extensions,
                      boost::system::error_code& failure) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const bool is_text =
      std::all_of(extensions.begin(), extensions.end(), [](unsigned char c) {
        return c == '\t' || (c >= kFirstPrintable && c != kDelete);
      });
  if (!is_text) {
    failure = bhttp::error::bad_chunk_extension;
  }
}

}  // namespace

template <bool kIsRequest>
std::size_t PutHead(message_parser<kIsRequest>& parser,
                    std::string_view input,
                    boost::system::error_code& failure) {
  // The parser would go on to the body otherwise.
  parser.eager(false);
  const std::size_t used =
      parser.put(asio::buffer(input.data(), input.size()), failure);
  if (HasFoldedLine(input.substr(0, used))) {
    failure = bhttp::error::bad_field;
  }
  if (!failure && parser.is_header_done()) {
    parser.on_chunk_header(CheckChunkHeader);
    failure = FramingError(FramingOf(parser.get().base()));
  }
  return used;
}

template <bool kIsRequest>
asio::awaitable<head_result> ReadHead(beast::tcp_stream& stream,
                                      beast::flat_buffer& buffer,
                                      message_parser<kIsRequest>& parser) {
  head_result head;
  while (!parser.is_header_done()) {
    if (buffer.size() > 0) {
      const std::size_t used = PutHead<kIsRequest>(
          parser,
          {static_cast<const char*>(buffer.data().data()), buffer.size()},
          head.failure);
      buffer.consume(used);
      head.size += used;
      if (head.failure != bhttp::error::need_more) {
        break;
      }
    }
    const std::size_t room = beast::read_size(buffer, kMaxReadBytes);
    if (room == 0) {
      head.failure = bhttp::error::buffer_overflow;
      break;
    }
    const auto [failure, size] =
        co_await stream.async_read_some(buffer.prepare(room), kAwait);
    buffer.commit(size);
    head.failure = failure;
    if (failure == asio::error::eof) {
      head.failure = parser.got_some() ? bhttp::error::partial_message
                                       : bhttp::error::end_of_stream;
    }
    if (failure) {
      break;
    }
  }
  co_return head;
}

template std::size_t PutHead(message_parser<true>& parser,
                             std::string_view input,
                             boost::system::error_code& failure);
template std::size_t PutHead(message_parser<false>& parser,
                             std::string_view input,
                             boost::system::error_code& failure);
template asio::awaitable<head_result> ReadHead(beast::tcp_stream& stream,
                                               beast::flat_buffer& buffer,
                                               message_parser<true>& parser);
template asio::awaitable<head_result> ReadHead(beast::tcp_stream& stream,
                                               beast::flat_buffer& buffer,
                                               message_parser<false>& parser);

}  // namespace bluebell
