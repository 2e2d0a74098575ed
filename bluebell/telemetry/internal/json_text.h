// Appends JSON strings to log lines.

#ifndef BLUEBELL_TELEMETRY_INTERNAL_JSON_TEXT_H_
#define BLUEBELL_TELEMETRY_INTERNAL_JSON_TEXT_H_

#include <string>
#include <string_view>

namespace bluebell::internal {

// Appends `text` in quotes. Control characters are escaped; bytes that aren't
// valid UTF-8 are replaced by U+FFFD, since callers' bytes may reach the log
// and a line must stay valid JSON.
void AppendJsonString(std::string& out, std::string_view text);

}  // namespace bluebell::internal

#endif  // BLUEBELL_TELEMETRY_INTERNAL_JSON_TEXT_H_
