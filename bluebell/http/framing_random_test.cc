// Random changes of the framings that the tests of both sides share.

#include <algorithm>
#include <array>
#include <cstddef>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <catch2/catch.hpp>

#include "bluebell/http/internal/framing_check.h"
#include "bluebell/http/internal/framing_samples.h"

namespace bluebell {
namespace {

constexpr int kRuns = 40'000;
constexpr std::size_t kMaxChanges = 3;
constexpr std::size_t kMaxRemoved = 12;
constexpr auto kInserted =
    std::to_array<std::string_view>({"\r\n",
                                     "\n",
                                     "\r",
                                     " ",
                                     "\t",
                                     "\r\n ",
                                     "\r\n\t",
                                     ",",
                                     ";",
                                     ":",
                                     "\"",
                                     ";a=\"",
                                     "0",
                                     "5",
                                     "a",
                                     "0x",
                                     "chunked",
                                     "identity",
                                     "HTTP/1.1 200 OK",
                                     "Content-Length: 5\r\n",
                                     "Transfer-Encoding: chunked\r\n",
                                     "0\r\n\r\n",
                                     "\x80",
                                     "\x01",
                                     "Connection: close\r\n",
                                     "204",
                                     "103"});

class random_changes {
 public:
  explicit random_changes(unsigned seed) : random_(seed) {}

  std::size_t Below(std::size_t limit) {
    return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random_);
  }

  std::string Change(std::string bytes) {
    for (std::size_t left = Below(kMaxChanges + 1); left > 0; --left) {
      const std::size_t at = Below(bytes.size());
      switch (Below(3)) {
        case 0:
          bytes.erase(at, 1 + Below(kMaxRemoved));
          break;
        case 1:
          bytes.insert(at, kInserted.at(Below(kInserted.size())));
          break;
        default:
          bytes.insert(at, bytes.substr(Below(bytes.size()), kMaxRemoved));
      }
      bytes += bytes.empty() ? "x" : "";
    }
    return bytes;
  }

 private:
  std::mt19937 random_;
};

template <bool kIsRequest>
void CheckRandomChanges(const std::string& inner) {
  const std::vector<framing_sample> samples = FramingSamples();
  random_changes random(20'261'206);
  std::size_t taken = 0;
  for (int run = 0; run < kRuns; ++run) {
    const framing_sample& sample = samples[random.Below(samples.size())];
    const std::string bytes = random.Change(
        (kIsRequest ? RequestBytes(sample, "/x") : ResponseBytes(sample, "")) +
        inner);
    const std::string broken = BrokenFramingRule<kIsRequest>(bytes);
    if (!broken.empty()) {
      CAPTURE(run, sample.name, bytes);
      CHECK(broken.empty());
      FAIL(broken);
    }
    taken += ReadInPieces<kIsRequest>(bytes, bytes.size()) ? 1 : 0;
  }
  // Otherwise the rules for messages that are taken say nothing.
  CHECK(taken > kRuns / 20);
}

// Guards against a message that a part of this system, or a server behind it,
// reads with another end.
TEST_CASE("requests with random changes have one reading") {
  CheckRandomChanges<true>("GET /inner HTTP/1.1\r\nHost: a\r\n\r\n");
}

TEST_CASE("responses with random changes have one reading") {
  CheckRandomChanges<false>("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
}

}  // namespace
}  // namespace bluebell
