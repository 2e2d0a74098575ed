// Appends JSON strings to log lines.
//
//   AppendJsonString(line, "quote \" here");

#ifndef BLUEBELL_TELEMETRY_INTERNAL_JSON_TEXT_H_
#define BLUEBELL_TELEMETRY_INTERNAL_JSON_TEXT_H_

#include <string>
#include <string_view>

namespace bluebell::internal {

// Appends `text` as a JSON string with quotes. Control characters are escaped.
// Each byte that isn't part of valid UTF-8 is replaced by U+FFFD: `text` may
// hold arbitrary bytes from callers, and the line must stay valid JSON.
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_JSON_TEXT_H_
