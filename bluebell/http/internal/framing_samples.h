// Framings of messages, and how each must be read: one table for the tests of
// callers' connections, of endpoints' connections and of the HTTP client.

#ifndef BLUEBELL_HTTP_INTERNAL_FRAMING_SAMPLES_H_
#define BLUEBELL_HTTP_INTERNAL_FRAMING_SAMPLES_H_

#include <string>
#include <string_view>
#include <vector>

namespace bluebell {

// The status of a request that is served, and of samples that aren't requests.
inline constexpr unsigned kTakenStatus = 200;
inline constexpr unsigned kNoRequest = 0;

struct framing_sample {
  std::string_view name;
  // Header lines, each with its end.
  std::string_view fields;
  // The bytes after the header.
  std::string_view coded;
  // What a caller gets: kTakenStatus, or the status of the refusal.
  unsigned request_status = kTakenStatus;
  // False: no response is accepted, and the connection isn't used again.
  bool response_taken = true;
  std::string_view body;
  std::string_view version = "1.1";
  std::string_view response_status = "200 OK";
  // The body of a response consists of all bytes up to the end of the
  // connection.
  bool response_ends_with_connection = false;
};

// `target` must be one that the server serves.
inline std::string RequestBytes(const framing_sample& sample,
                                std::string_view target) {
  std::string bytes("POST ");
  bytes.append(target).append(" HTTP/").append(sample.version);
  bytes.append("\r\nHost: a\r\n").append(sample.fields).append("\r\n");
  return bytes.append(sample.coded);
}

// `more_fields` are header lines, each with its end.
inline std::string ResponseBytes(const framing_sample& sample,
                                 std::string_view more_fields) {
  std::string bytes("HTTP/");
  bytes.append(sample.version).append(" ").append(sample.response_status);
  bytes.append("\r\n").append(more_fields).append(sample.fields);
  return bytes.append("\r\n").append(sample.coded);
}

inline framing_sample Taken(std::string_view name,
                            std::string_view fields,
                            std::string_view coded,
                            std::string_view body) {
  return {name, fields, coded, kTakenStatus, true, body};
}

inline framing_sample Refused(std::string_view name,
                              std::string_view fields,
                              std::string_view coded,
                              unsigned status = 400) {
  return {name, fields, coded, status, false, {}};
}

inline framing_sample InHttp10(framing_sample sample) {
  sample.version = "1.0";
  return sample;
}

inline framing_sample ResponseOnly(std::string_view name,
                                   std::string_view status,
                                   std::string_view fields,
                                   bool taken) {
  return {name, fields, "", kNoRequest, taken, "", "1.1", status};
}

inline std::vector<framing_sample> FramingSamples() {
  constexpr std::string_view kChunked = "Transfer-Encoding: chunked\r\n";
  constexpr std::string_view kChunks = "5\r\nhello\r\n0\r\n\r\n";
  constexpr std::string_view kHello = "hello";
  constexpr unsigned kTooLarge = 413;
  constexpr unsigned kUnknownCoding = 501;
  framing_sample unframed = Taken("neither length nor coding", "", "", "");
  unframed.response_ends_with_connection = true;
  std::vector<framing_sample> samples{
      unframed,
      Taken("a length", "Content-Length: 5\r\n", kHello, kHello),
      Taken("a length of zero", "Content-Length: 0\r\n", "", ""),
      Taken("blanks around a length", "Content-Length: \t5 \r\n", kHello,
            kHello),
      InHttp10(Taken("a length in HTTP/1.0", "Content-Length: 5\r\n", kHello,
                     kHello)),
      Taken("chunks", kChunked, kChunks, kHello),
      Taken("odd case", "transfer-ENCODING: cHuNkEd\r\n", kChunks, kHello),
      Taken("blanks around the coding", "Transfer-Encoding: \tchunked \t\r\n",
            kChunks, kHello),
      Taken("no blank before the coding", "Transfer-Encoding:chunked\r\n",
            kChunks, kHello),
      Taken("hexadecimal sizes", kChunked,
            "A\r\n0123456789\r\n000b\r\n0123456789a\r\n00\r\n\r\n",
            "01234567890123456789a"),
      Taken("chunk extensions", kChunked,
            "5;name=value;other\r\nhello\r\n0;last\r\n\r\n", kHello),
      Taken("a quoted chunk extension", kChunked,
            "5;name=\"a;b\\\"c\"\r\nhello\r\n0\r\n\r\n", kHello),
      Taken("trailers", kChunked, "5\r\nhello\r\n0\r\nLate: 1\r\n\r\n", kHello),

      Refused("two equal lengths", "Content-Length: 5\r\nContent-Length: 5\r\n",
              kHello),
      Refused("two lengths", "Content-Length: 5\r\nContent-Length: 6\r\n",
              kHello),
      Refused("equal lengths in a list", "Content-Length: 5, 5\r\n", kHello),
      Refused("lengths in a list", "Content-Length: 5, 6\r\n", kHello),
      Refused("a length and a comma", "Content-Length: 5,\r\n", kHello),
      Refused("a comma and a length", "Content-Length: ,5\r\n", kHello),
      Refused("an empty length", "Content-Length: \r\n", kHello),
      Refused("a positive length", "Content-Length: +5\r\n", kHello),
      Refused("a negative length", "Content-Length: -5\r\n", kHello),
      Refused("a hexadecimal length", "Content-Length: 0x5\r\n", kHello),
      Refused("a length in two words", "Content-Length: 1 5\r\n", kHello),
      Refused("a length with a parameter", "Content-Length: 5;a=1\r\n", kHello),
      Refused("a fraction as length", "Content-Length: 5.0\r\n", kHello),
      Refused("a length above 64 bits",
              "Content-Length: 18446744073709551621\r\n", kHello),
      Refused("a length above the limit", "Content-Length: 99999999999\r\n",
              kHello, kTooLarge),
      Refused("a blank after the name of the length", "Content-Length : 5\r\n",
              kHello),

      Refused("identity", "Transfer-Encoding: identity\r\n", ""),
      Refused("an unknown coding alone", "Transfer-Encoding: gzip\r\n",
              kChunks),
      Refused("no coding", "Transfer-Encoding: \r\n", kChunks),
      Refused("another name", "Transfer-Encoding: xchunked\r\n", kChunks),
      Refused("a parameter", "Transfer-Encoding: chunked;q=1\r\n", kChunks),
      Refused("a parameter after a blank",
              "Transfer-Encoding: chunked ; q=1\r\n", kChunks),
      Refused("a quoted coding", "Transfer-Encoding: \"chunked\"\r\n", kChunks),
      Refused("two words", "Transfer-Encoding: chunked x\r\n", kChunks),
      Refused("chunks, then identity",
              "Transfer-Encoding: chunked, identity\r\n", kChunks),
      Refused("chunks, then identity in another line",
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
              kChunks),
      Refused("chunks, then an empty coding", "Transfer-Encoding: chunked,\r\n",
              kChunks),
      Refused("an empty coding, then chunks",
              "Transfer-Encoding: , chunked\r\n", kChunks),
      Refused("an empty line of codings, then chunks",
              "Transfer-Encoding: \r\nTransfer-Encoding: chunked\r\n", kChunks),
      Refused("chunks in chunks", "Transfer-Encoding: chunked, chunked\r\n",
              kChunks),
      Refused("chunks in chunks, in two lines",
              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
              kChunks),
      Refused("chunks with a parameter in chunks",
              "Transfer-Encoding: chunked;q=1, chunked\r\n", kChunks),
      Refused("an unknown coding in chunks",
              "Transfer-Encoding: gzip, chunked\r\n", kChunks, kUnknownCoding),
      Refused("an unknown coding in chunks, in two lines",
              "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
              kChunks, kUnknownCoding),
      Refused("a blank after the name of the coding",
              "Transfer-Encoding : chunked\r\n", kChunks),
      Refused("a control character in the coding",
              "Transfer-Encoding: \vchunked\r\n", kChunks),
      Refused("a length, then chunks",
              "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", kChunks),
      Refused("chunks, then a length",
              "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", kChunks),
      Refused("a length and an unknown coding",
              "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n", kHello),
      InHttp10(Refused("chunks in HTTP/1.0", kChunked, kChunks)),
      InHttp10(Refused("chunks and a length in HTTP/1.0",
                       "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
                       kChunks)),

      Refused("a line that ends with LF", "Content-Length: 5\nX-A: b\r\n",
              kHello),
      Refused("a line with a CR", "X-A: b\rContent-Length: 5\r\n", kHello),
      Refused("a folded length", "Content-Length:\r\n 5\r\n", kHello),
      Refused("a folded coding", "Transfer-Encoding:\r\n\tchunked\r\n",
              kChunks),
      Refused("codings in a folded line",
              "Transfer-Encoding: gzip,\r\n chunked\r\n", kChunks),
      Refused("a length in the fold of another line",
              "X-A: b\r\n Content-Length: 5\r\n", kHello),
      Refused("a coding in the fold of another line",
              "X-A: b\r\n\tTransfer-Encoding: chunked\r\n", kChunks),
      Refused("a fold in a field that isn't about the body",
              "X-A: b\r\n c\r\nContent-Length: 5\r\n", kHello),

      Refused("a chunk size that ends with LF", kChunked,
              "5\nhello\r\n0\r\n\r\n"),
      Refused("a chunk that ends with LF", kChunked, "5\r\nhello\n0\r\n\r\n"),
      Refused("a last chunk that ends with LF", kChunked,
              "5\r\nhello\r\n0\n\r\n"),
      Refused("a chunk extension that ends with LF", kChunked,
              "5;a=b\nhello\r\n0\r\n\r\n"),
      Refused("a quoted chunk extension with LF", kChunked,
              "5;a=\"\nb\"\r\nhello\r\n0\r\n\r\n"),
      Refused("a quoted extension of the last chunk with LF", kChunked,
              "5\r\nhello\r\n0;a=\"\n\n\"\r\n\r\n"),
      Refused("an empty chunk extension", kChunked, "5;\r\nhello\r\n0\r\n\r\n"),
      Refused("a chunk extension without a semicolon", kChunked,
              "5 a\r\nhello\r\n0\r\n\r\n"),
      Refused("a chunk size after a blank", kChunked,
              " 5\r\nhello\r\n0\r\n\r\n"),
      Refused("a chunk size before a blank", kChunked,
              "5 \r\nhello\r\n0\r\n\r\n"),
      Refused("an empty chunk size", kChunked, "\r\nhello\r\n0\r\n\r\n"),
      Refused("a positive chunk size", kChunked, "+5\r\nhello\r\n0\r\n\r\n"),
      Refused("a negative chunk size", kChunked, "-5\r\nhello\r\n0\r\n\r\n"),
      Refused("a prefix of the chunk size", kChunked,
              "0x5\r\nhello\r\n0\r\n\r\n"),
      Refused("a chunk size above 64 bits", kChunked,
              "10000000000000005\r\nhello\r\n0\r\n\r\n"),
      Refused("a chunk size above the limit", kChunked,
              "ffffffffffffffff\r\nhello\r\n0\r\n\r\n", kTooLarge),
      Refused("a chunk longer than its size", kChunked,
              "4\r\nhello\r\n0\r\n\r\n"),
      Refused("a chunk shorter than its size", kChunked,
              "6\r\nhello\r\n0\r\n\r\n"),
      Refused("a length in a trailer", kChunked,
              "5\r\nhello\r\n0\r\nContent-Length: 5\r\n\r\n"),
      Refused("a coding in a trailer", kChunked,
              "5\r\nhello\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"),
      Refused("a trailer that ends with LF", kChunked,
              "5\r\nhello\r\n0\r\nLate: 1\nLater: 2\r\n\r\n"),

      ResponseOnly("no content", "204 No Content", "", true),
      ResponseOnly("no content and a length of zero", "204 No Content",
                   "Content-Length: 0\r\n", true),
      ResponseOnly("no content and a length", "204 No Content",
                   "Content-Length: 5\r\n", false),
      ResponseOnly("no content and chunks", "204 No Content", kChunked, false),
      ResponseOnly("not modified and the length of what isn't sent",
                   "304 Not Modified", "Content-Length: 5\r\n", true),
      ResponseOnly("an interim response with a length", "103 Early Hints",
                   "Content-Length: 5\r\n", false),
      ResponseOnly("an interim response with chunks", "103 Early Hints",
                   kChunked, false),
      ResponseOnly("a status below 100", "002 Odd", "Content-Length: 0\r\n",
                   false),
      ResponseOnly("the last status", "599 Odd", "Content-Length: 0\r\n", true),
      ResponseOnly("a status above 599", "600 Odd", "Content-Length: 0\r\n",
                   false),
  };
  return samples;
}

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_INTERNAL_FRAMING_SAMPLES_H_
