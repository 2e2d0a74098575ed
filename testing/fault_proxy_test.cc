// The proxy and the endpoint stand-in as real processes: a fault that doesn't
// act would let the failure tests pass without a failure.

#include <unistd.h>

#include <boost/beast/http/verb.hpp>
#include <catch2/catch.hpp>
#include <string>

#include "testing/child_process.h"
#include "testing/deployment.h"
#include "testing/http_call.h"

namespace bluebell {
namespace {

using boost::beast::http::verb;

constexpr milliseconds kShort{300};

class proxied_endpoint {
 public:
  proxied_endpoint()
      : first_port_(28'000 + 10 * (::getpid() % 90)),
        endpoint_(
            child_process::Start(BLUEBELL_BUILD_DIR "/testing/endpoint_standin",
                                 {"--service=tracker", "--port=" + Port(0)},
                                 BLUEBELL_BUILD_DIR "/fault_proxy_test.log")
                .value()),
        proxy_(child_process::Start(
                   BLUEBELL_BUILD_DIR "/testing/fault_proxy",
                   {"--control=" + Where(1).ToString(),
                    "e," + Where(2).ToString() + "=" + Where(0).ToString()},
                   BLUEBELL_BUILD_DIR "/fault_proxy_test.log")
                   .value()) {
    REQUIRE(WaitUntil(seconds(20), [&] { return Answers(); }));
  }

  bool Answers() const {
    const auto reply =
        HttpCall(Where(2), verb::get, "/bluebell/report", "", kShort);
    return reply && reply.value().result_int() == 200;
  }

  void Set(const std::string& fault) const {
    const auto reply = HttpCall(Where(1), verb::post, "/faults",
                                R"({"routes":["e"],"fault":)" + fault + "}");
    REQUIRE(reply.has_value());
    REQUIRE(reply.value().result_int() == 200);
  }

  void SetEndpoint(const std::string& faults) const {
    const auto reply =
        HttpCall(Where(0), verb::post, "/bluebell/faults", faults);
    REQUIRE(reply.has_value());
    REQUIRE(reply.value().result_int() == 200);
  }

 private:
  std::string Port(int offset) const {
    return std::to_string(first_port_ + offset);
  }
  address Where(int offset) const {
    return address::Parse("127.0.0.1:" + Port(offset)).value();
  }

  int first_port_;
  child_process endpoint_;
  child_process proxy_;
};

TEST_CASE("each fault of the proxy keeps answers back, and passing ends it") {
  const proxied_endpoint endpoint;
  for (const char* fault : {R"("lose")", R"("lose","to_target":false)",
                            R"("lose","from_target":false)", R"("refuse")",
                            R"("truncate","bytes":60)", R"("lose_answers")",
                            R"("delay","us":400000)"}) {
    CAPTURE(fault);
    endpoint.Set(fault);
    CHECK_FALSE(endpoint.Answers());
    endpoint.Set(R"("pass")");
    CHECK(endpoint.Answers());
  }
}

TEST_CASE("a frozen endpoint answers nothing until it resumes") {
  const proxied_endpoint endpoint;
  endpoint.SetEndpoint(R"({"freeze":true})");
  CHECK_FALSE(endpoint.Answers());
  endpoint.SetEndpoint(R"({"freeze":false})");
  CHECK(endpoint.Answers());
}

}  // namespace
}  // namespace bluebell
