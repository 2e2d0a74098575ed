#include "bluebell/wire/frame.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace bluebell {
namespace {

const endpoint_instance kEndpoint{endpoint_id("lk-west-a-tracker-1"),
                                  incarnation(7)};
const request_id kId =
    request_id::Make(wall_instant(milliseconds(1'764'800'000'123)), {1, 2});

heartbeat SampleHeartbeat() {
  heartbeat sample;
  sample.sender = daemon_id("lk-west-a-1");
  sample.run = incarnation(99);
  sample.domain = domain_name("lk-west-a");
  sample.peer_address = address::Parse("127.0.0.1:7400").value();
  sample.leaving = true;
  sample.ping = 5;
  sample.tables = {{service_name("tracker"), 0, table_version(4), 1'200},
                   {service_name("booker"), 1, table_version(8), -1}};
  sample.endpoints = {{kEndpoint, endpoint_condition::kDraining}};
  sample.silent_domains = {domain_name("lk-west-b")};
  return sample;
}

load_report SampleLoad() {
  return {seconds(1),
          {{service_name("tracker"), 17, milliseconds(3)}},
          {{service_name("tracker"), 18, milliseconds(2)}}};
}

host_entry SampleHost() {
  return {"lk-west-a-tracker-1",   host_role::kEndpoint,
          host_state::kLeaving,    domain_name("lk-west-a"),
          service_name("tracker"), address::Parse("127.0.0.1:7500").value()};
}

std::vector<wire_message> Samples() {
  const answer reply{200, {{"Content-Type", "text/plain"}}, "collected"};
  const not_run refusal{not_run_reason::kOverloaded, "queue full",
                        milliseconds(40)};
  const unknown lost{unknown_reason::kConnectionLost, "reset"};
  forward_request forward;
  forward.id = kId;
  forward.service = service_name("tracker");
  forward.key = "bin-4711";
  forward.method = "POST";
  forward.headers = {{"Accept", "*/*"}};
  forward.body = std::string(100'000, 'x');
  queue_pressure pressure;
  pressure.waiting = {1, 2, 3};
  pressure.slots = 2;
  const service_name service("tracker");
  return {
      SampleHeartbeat(),
      forward,
      forward_reply{kId, reply},
      forward_reply{kId, refusal},
      request_query{kId, service, "bin-4711", kEndpoint},
      query_reply{kId, request_withdrawn{}},
      query_reply{kId, request_running{}},
      query_reply{kId, request_ended{lost}},
      ledger_transfer{service,
                      kEndpoint,
                      {{kId, std::nullopt}, {kId, reply}, {kId, lost}},
                      wall_instant(seconds(1'700'000'000)),
                      false},
      ledger_transfer_reply{kEndpoint, true},
      state_request{daemon_id("lk-west-a-1")},
      state_reply{daemon_id("lk-west-a-2"),
                  "{}",
                  {"a", "b"},
                  {SampleHost()},
                  SampleLoad()},
      pressure_update{service, kEndpoint, pressure},
      link_probe{},
      endpoint_leaving{kEndpoint},
      fleet_update_request{7, {3, 4, 5}},
      fleet_update{7,
                   true,
                   120,
                   true,
                   1'500,
                   {{3,
                     9,
                     {{"servers/i-1", "{}", false, 9, true},
                      {"servers/i-2", "", true, 9, false}}}}},
  };
}

std::string Encoded(const wire_message& message) {
  return EncodeFrame({exchange_kind::kRequest, 42, message}).value();
}

TEST_CASE("encoding and decoding keep every field of a message") {
  for (const wire_message& message : Samples()) {
    const result<frame> read = DecodeFrame(Encoded(message));
    INFO(NameOf(message));
    REQUIRE(read);
    CHECK(read.value() == frame{exchange_kind::kRequest, 42, message});
  }
}

TEST_CASE("a message truncated at any length is an error") {
  for (const wire_message& message : Samples()) {
    const std::string bytes = Encoded(message);
    const std::size_t stride = bytes.size() / 1'000 + 1;
    for (std::size_t size = 0; size < bytes.size(); size += stride) {
      const std::string_view part(bytes.data(), size);
      CHECK_FALSE(DecodeFrame(part));
      const result<frame_header> header = DecodeHeader(bytes);
      if (size > kFrameHeaderBytes) {
        frame_header shorter = header.value();
        shorter.body_bytes =
            static_cast<std::uint32_t>(size - kFrameHeaderBytes);
        CHECK_FALSE(DecodeBody(shorter, part.substr(kFrameHeaderBytes)));
      }
    }
  }
}

TEST_CASE("corrupted bytes never crash a decoder or escape as an exception") {
  const std::uint64_t seed = GENERATE(1U, 2U, 3U);
  std::mt19937_64 random(seed);
  const auto pick = [&](std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
  };
  std::size_t rejected = 0;
  for (const wire_message& message : Samples()) {
    const std::string bytes = Encoded(message);
    for (int round = 0; round < 1'000; ++round) {
      std::string corrupted = bytes;
      const std::size_t changes = 1 + pick(4);
      for (std::size_t i = 0; i < changes; ++i) {
        // Most fields are within the first bytes.
        const std::size_t within = std::min<std::size_t>(bytes.size(), 400);
        corrupted[pick(within)] = static_cast<char>(pick(256));
      }
      const result<frame> read = DecodeFrame(corrupted);
      if (!read) {
        ++rejected;
        CHECK(read.error().at() == step::kDecodeMessage);
      } else {
        // An accepted message is valid: it can be encoded again.
        CHECK(EncodeFrame(read.value()));
      }
    }
  }
  CHECK(rejected > 1'000);
}

TEST_CASE("a length that exceeds the rest of the message is rejected") {
  std::string bytes = Encoded(state_request{daemon_id("d")});
  // The sender's length follows the archive's byte order flag.
  const std::string huge("\xff\xff\xff\xff\x0f", 5);
  bytes.replace(kFrameHeaderBytes + 1, 1, huge);
  bytes[0] = static_cast<char>(bytes.size() - kFrameHeaderBytes);
  const result<frame> read = DecodeFrame(bytes);
  REQUIRE_FALSE(read);
  CHECK(read.error().code() == errc::kMalformedMessage);
}

TEST_CASE("a frame over the size limit is rejected before its body is read") {
  std::string bytes = Encoded(state_request{});
  bytes[3] = 0x7f;
  CHECK(DecodeHeader(bytes).error().code() == errc::kTooLarge);
  heartbeat large = SampleHeartbeat();
  large.endpoints.assign(10'000, {kEndpoint, endpoint_condition::kLost});
  CHECK(EncodeFrame({exchange_kind::kOneWay, 0, large}).error().code() ==
        errc::kTooLarge);
}

TEST_CASE("a message of a newer release is rejected by its version") {
  // The positions of the message type and of its version in the header.
  const std::size_t position = GENERATE(5U, 6U);
  std::string bytes = Encoded(SampleHeartbeat());
  bytes[position] = 100;
  const result<frame> read = DecodeFrame(bytes);
  REQUIRE_FALSE(read);
  CHECK(read.error().code() == errc::kUnsupportedVersion);
  // The end of the frame is still known, so the connection can be used further.
  CHECK(DecodeHeader(bytes));
}

TEST_CASE("bytes of another protocol on the peer port are rejected") {
  CHECK_FALSE(DecodeHeader("GET / HTTP/1.1\r\nHost: x\r\n\r\n"));
}

}  // namespace
}  // namespace bluebell
