// Checks the reading of HTTP messages against properties, for random tests and
// fuzz targets.
//
//   const std::string broken = BrokenFramingRule<true>(bytes);

#ifndef BLUEBELL_HTTP_INTERNAL_FRAMING_CHECK_H_
#define BLUEBELL_HTTP_INTERNAL_FRAMING_CHECK_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include "bluebell/http/embedded_status_line.h"
#include "bluebell/http/message_head.h"

namespace bluebell {

inline constexpr std::size_t kMaxCheckedHeader = 8U << 10U;
inline constexpr std::size_t kMaxCheckedBody = 64U << 10U;

// A message that was accepted.
struct message_reading {
  // The bytes of the message.
  std::size_t size = 0;
  // True if it ends with its connection.
  bool ends_with_connection = false;
  // The message as this system passes it on, with a length.
  std::string forwarded;
  std::string body;

  friend bool operator==(const message_reading&,
                         const message_reading&) = default;
};

// Reads one message as caller_connection and endpoint_connection_pool do, where
// `input` arrives in pieces of `piece` bytes and then ends. Nothing if it is
// refused or incomplete.
template <bool kIsRequest>
std::optional<message_reading> ReadInPieces(std::string_view input,
                                            std::size_t piece) {
  message_parser<kIsRequest> parser;
  parser.header_limit(kMaxCheckedHeader);
  parser.body_limit(kMaxCheckedBody);
  message_reading reading;
  std::size_t arrived = 0;
  std::optional<boost::beast::http::fields> header;
  while (!parser.is_done()) {
    boost::system::error_code failure = boost::beast::http::error::need_more;
    if (arrived > reading.size) {
      const std::string_view buffered =
          input.substr(reading.size, arrived - reading.size);
      reading.size += parser.is_header_done()
                          ? parser.put(boost::asio::buffer(buffered.data(),
                                                           buffered.size()),
                                       failure)
                          : PutHead<kIsRequest>(parser, buffered, failure);
    }
    if (!header && !failure && parser.is_header_done()) {
      header = parser.get();
    }
    if (failure == boost::beast::http::error::need_more) {
      if (arrived == input.size()) {
        return std::nullopt;
      }
      failure = {};
      arrived = std::min(input.size(), arrived + piece);
    } else if (!failure && !parser.is_done() && arrived == reading.size &&
               arrived == input.size()) {
      if (!parser.need_eof()) {
        return std::nullopt;
      }
      parser.put_eof(failure);
    }
    if (failure) {
      return std::nullopt;
    }
  }
  reading.ends_with_connection = parser.need_eof();
  auto message = parser.release();
  if (header) {
    static_cast<boost::beast::http::fields&>(message) = *header;
  }
  if constexpr (!kIsRequest) {
    if (HasEmbeddedStatusLine(message)) {
      return std::nullopt;
    }
  }
  reading.body = message.body();
  message.erase(boost::beast::http::field::transfer_encoding);
  message.content_length(message.body().size());
  std::ostringstream forwarded;
  forwarded << message;
  reading.forwarded = std::move(forwarded).str();
  return reading;
}

// Another reader of the same bytes. It ends lines at LF, with or without CR,
// takes each line of a head for a field of its own, knows chunks in HTTP/1.1
// only and in any list of codings, and ignores a length that isn't a single
// number.
class lax_reader {
 public:
  explicit lax_reader(std::string_view input) : input_(input) {}

  // The bytes up to the end of the message. Nothing if the message seems
  // incomplete, or to end with its connection.
  std::optional<std::size_t> EndOfMessage(bool has_body) {
    const bool knows_chunks = NextLine().find("HTTP/1.0") == std::string::npos;
    std::optional<std::uint64_t> length;
    bool chunked = false;
    for (std::string line = NextLine(); !line.empty() && !failed_;
         line = NextLine()) {
      std::transform(line.begin(), line.end(), line.begin(),
                     [](char c) { return c >= 'A' && c <= 'Z' ? c + 32 : c; });
      const std::size_t colon = std::min(line.find(':'), line.size());
      const std::string name = Word(line.substr(0, colon));
      const std::string value = line.substr(std::min(colon + 1, line.size()));
      if (name == "content-length") {
        const bool is_number =
            value.find_first_not_of("0123456789 \t") == std::string::npos;
        length = !length && is_number ? Number(value, 10) : 0;
      }
      if (name == "transfer-encoding" && knows_chunks) {
        chunked = chunked || value.find("chunked") != std::string::npos;
      }
    }
    if (!has_body) {
      return End();
    }
    if (chunked) {
      return EndOfChunks();
    }
    Skip(length.value_or(0));
    return End();
  }

 private:
  static std::string Word(const std::string& text) {
    const std::size_t begin =
        std::min(text.find_first_not_of(" \t"), text.size());
    return text.substr(begin, text.find_first_of(" \t", begin) - begin);
  }

  static std::uint64_t Number(const std::string& text, int base) {
    const char* digits = base == 10 ? "0123456789" : "0123456789abcdefABCDEF";
    const std::size_t begin = text.find_first_of(digits);
    return begin == std::string::npos
               ? 0
               : std::strtoull(text.c_str() + begin, nullptr, base);
  }

  std::optional<std::size_t> End() const {
    return failed_ ? std::nullopt : std::optional<std::size_t>(at_);
  }

  std::optional<std::size_t> EndOfChunks() {
    while (!failed_) {
      const std::uint64_t size = Number(NextLine(), 16);
      if (size == 0) {
        break;
      }
      Skip(size);
      NextLine();
    }
    while (!failed_ && !NextLine().empty()) {
    }
    return End();
  }

  std::string NextLine() {
    const std::size_t end = input_.find('\n', at_);
    if (end == std::string_view::npos) {
      failed_ = true;
      return "";
    }
    std::string line(input_.substr(at_, end - at_));
    at_ = end + 1;
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    return line;
  }

  void Skip(std::uint64_t size) {
    failed_ = failed_ || size > input_.size() - at_;
    at_ += failed_ ? 0 : static_cast<std::size_t>(size);
  }

  std::string_view input_;
  std::size_t at_ = 0;
  bool failed_ = false;
};

// False if the response may state the length of what isn't sent.
inline bool IsSentWhole(std::string_view response) {
  return response.substr(std::string_view("HTTP/1.1 ").size(), 3) != "304";
}

// The rule that the reading of `input` breaks; empty if it breaks none.
template <bool kIsRequest>
std::string BrokenFramingRule(std::string_view input) {
  const auto whole = ReadInPieces<kIsRequest>(input, input.size() + 1);
  for (const std::size_t piece : {1U, 3U, 16U}) {
    if (ReadInPieces<kIsRequest>(input, piece) != whole) {
      return "pieces of " + std::to_string(piece) +
             " bytes are read as another message";
    }
  }
  if (!whole) {
    return "";
  }
  const std::string_view message = input.substr(0, whole->size);
  if (ReadInPieces<kIsRequest>(message, message.size()) != whole) {
    return "the message is read differently without the bytes behind it";
  }
  if (!whole->ends_with_connection) {
    for (std::size_t size = message.size() - 1; size > 0; size /= 2) {
      if (ReadInPieces<kIsRequest>(message.substr(0, size), size)) {
        return "a part of the message is a message";
      }
    }
    const auto end =
        lax_reader(input).EndOfMessage(kIsRequest || IsSentWhole(message));
    if (end != whole->size) {
      return "another reader sees another end";
    }
  }
  const auto again =
      ReadInPieces<kIsRequest>(whole->forwarded, whole->forwarded.size());
  if (!again || again->body != whole->body ||
      again->forwarded != whole->forwarded ||
      again->size != whole->forwarded.size()) {
    return "the message is read differently once it has been passed on";
  }
  return "";
}

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_INTERNAL_FRAMING_CHECK_H_
