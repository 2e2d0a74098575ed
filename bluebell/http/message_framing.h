// Decides whether the end of a message's body has a single reading.
//
// Another reader of the same bytes that sees a different end would take a part
// of the body for a message of its own. HTTP parsers accept some of these
// messages, for example one whose last transfer coding isn't "chunked".

#ifndef BLUEBELL_HTTP_MESSAGE_FRAMING_H_
#define BLUEBELL_HTTP_MESSAGE_FRAMING_H_

#include <cstdint>

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace bluebell {

enum class message_framing : std::uint8_t {
  // No body, a length, chunks, or for a response the end of the connection.
  kClear,
  // The end is clear, and the body has a transfer coding besides "chunked".
  kUnknownCoding,
  kAmbiguous,
  // The status of the response is one that no response may have.
  kImpossibleStatus,
};

// `version` is 10 for HTTP/1.0 and 11 for HTTP/1.1.
message_framing FramingOf(const boost::beast::http::fields& fields,
                          unsigned version);

message_framing FramingOf(const boost::beast::http::request_header<>& head);
// Ambiguous also if the status excludes a body that the fields state.
message_framing FramingOf(const boost::beast::http::response_header<>& head);

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_MESSAGE_FRAMING_H_
