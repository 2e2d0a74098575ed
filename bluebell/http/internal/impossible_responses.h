// Responses whose status line no HTTP server may send: one table for the tests
// of endpoints' connections, of orders about keys and of store calls.

#ifndef BLUEBELL_HTTP_INTERNAL_IMPOSSIBLE_RESPONSES_H_
#define BLUEBELL_HTTP_INTERNAL_IMPOSSIBLE_RESPONSES_H_

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace bluebell {

// Status lines without their end. The status is not one from 100 to 599, or is
// not three digits between single spaces.
inline constexpr auto kImpossibleStatusLines = std::to_array<std::string_view>({
    "HTTP/1.1 000 OK",  "HTTP/1.1 000",     "HTTP/1.1 000 ",
    "HTTP/1.1 001 OK",  "HTTP/1.1 020 OK",  "HTTP/1.1 099 OK",
    "HTTP/1.1 0 OK",    "HTTP/1.1 20 OK",   "HTTP/1.1 0200 OK",
    "HTTP/1.1 1000 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 99999 OK",
    "HTTP/1.1 -1 OK",   "HTTP/1.1 +20 OK",  "HTTP/1.1 -200 OK",
    "HTTP/1.1 abc OK",  "HTTP/1.1 2x0 OK",  "HTTP/1.1 20O OK",
    "HTTP/1.1  OK",     "HTTP/1.1 ",        "HTTP/1.1",
    "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", "HTTP/1.1 200OK",
    "HTTP/1.1 600 OK",  "HTTP/1.1 700 OK",  "HTTP/1.1 999 OK",
    "HTTP/1.0 000 OK",  "HTTP/1.0 600 OK",
});

// All status lines, without and with a body, in a length and in chunks, on a
// connection that stays open and on one that the server closes.
// `fields` are header lines, each with its end; `body` isn't empty.
inline std::vector<std::string> ImpossibleResponses(std::string_view fields,
                                                    const std::string& body) {
  const std::string length = std::to_string(body.size());
  const std::vector<std::string> endings{
      "Content-Length: 0\r\n\r\n",
      "Content-Length: " + length + "\r\n\r\n" + body,
      "Content-Length: " + length + "\r\nConnection: close\r\n\r\n" + body,
      "Transfer-Encoding: chunked\r\n\r\n1\r\n" + body.substr(0, 1) +
          "\r\n0\r\n\r\n",
  };
  std::vector<std::string> responses;
  for (const std::string_view line : kImpossibleStatusLines) {
    for (const std::string& ending : endings) {
      responses.push_back(std::string(line).append("\r\n").append(fields) +
                          ending);
    }
  }
  return responses;
}

}  // namespace bluebell

#endif  // BLUEBELL_HTTP_INTERNAL_IMPOSSIBLE_RESPONSES_H_
