// Reads the heads of HTTP messages, and refuses what the parser accepts
// although another reader may see another message.
//
//   message_parser<true> parser;
//   const head_result head = co_await ReadHead(stream, buffer, parser);
//   if (head.failure) {
//     return head.failure;
//   }

#ifndef BLUEBELL_HTTP_MESSAGE_HEAD_H_
#define BLUEBELL_HTTP_MESSAGE_HEAD_H_

#include <cstddef>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace bluebell {

template <bool kIsRequest>
using message_parser =
    boost::beast::http::parser<kIsRequest, boost::beast::http::string_body>;

struct head_result {
  boost::system::error_code failure;
  // The bytes of the head.
  std::size_t size = 0;
};

// Gives the next bytes of a message to a parser whose head isn't complete.
// Returns how many it has used; further bytes are to be given again. Fails with
// boost::beast::http::error::need_more if it needs more than these, with
// bad_transfer_encoding or bad_field if the body or a field has more than one
// reading, and with errc::not_supported for a transfer coding besides
// "chunked". The parser then refuses chunk extensions with control characters.
template <bool kIsRequest>
std::size_t PutHead(message_parser<kIsRequest>& parser,
                    std::string_view input,
                    boost::system::error_code& failure);

// Reads the head of one message. Further bytes stay in `buffer`. Fails as
// PutHead() does, and with the error of the stream.
template <bool kIsRequest>
boost::asio::awaitable<head_result> ReadHead(
    boost::beast::tcp_stream& stream,
    boost::beast::flat_buffer& buffer,
    message_parser<kIsRequest>& parser);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_MESSAGE_HEAD_H_
