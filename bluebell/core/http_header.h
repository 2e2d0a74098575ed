// One field of an HTTP header, as it is passed between caller and endpoint.

#ifndef BLUEBELL_CORE_HTTP_HEADER_H_
#define BLUEBELL_CORE_HTTP_HEADER_H_

#include <string>

namespace bluebell {

struct http_header {
  std::string name;
  std::string value;

  friend bool operator==(const http_header&, const http_header&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, value);
  }
};

}  // namespace bluebell

#endif  // BLUEBELL_CORE_HTTP_HEADER_H_
