// Fuzz target for the reading of responses. See DEVELOPERS.md.

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

#include "bluebell/http/internal/framing_check.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string broken = bluebell::BrokenFramingRule<false>(
      std::string_view(reinterpret_cast<const char*>(data), size));
  if (!broken.empty()) {
    std::cerr << broken << '\n';
    std::abort();
  }
  return 0;
}
