// Headers of requests and responses as text.

#ifndef TESTING_HEADER_TEXT_H_
#define TESTING_HEADER_TEXT_H_

#include <string>

namespace bluebell {

// Empty if `message`, a request or a response, has no header of that name.
template <typename Message>
std::string HeaderText(const Message& message, const char* name) {
  const auto found = message.find(name);
  return found == message.end() ? std::string() : std::string(found->value());
}

}  // namespace bluebell

#endif  // TESTING_HEADER_TEXT_H_
