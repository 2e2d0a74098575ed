// What a run of the load generator sends.
//
//   result<load_plan> plan = ParseLoadPlan(json);

#ifndef BLUEBELL_TESTING_LOAD_PLAN_H_
#define BLUEBELL_TESTING_LOAD_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bluebell/core/address.h"
#include "bluebell/core/rank.h"
#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "testing/key_source.h"

namespace bluebell {

// Requests of one kind at a fixed rate.
struct load_stream {
  std::string name;
  std::string service;
  rank priority = rank::kNormal;
  // Requests per second, spaced at random as independent callers do.
  double rate = 10;
  bool keyed = true;
  key_distribution keys;
  bool idempotent = true;
  milliseconds deadline{1'000};
  // Requests come from this many callers in turn.
  std::uint32_t callers = 1;
  // When the stream begins and ends, from the start of the run. An end of zero
  // is that of the run.
  milliseconds from{0};
  milliseconds until{0};

  friend bool operator==(const load_stream&, const load_stream&) = default;
};

struct load_plan {
  // The entry daemons, used in turn, or one endpoint if `direct`.
  std::vector<address> targets;
  // True: an endpoint that checks nothing is asked without a router.
  bool direct = false;
  // A lost connection is answered with one more attempt under the same id, at
  // the next target.
  bool repeat_lost = false;
  milliseconds length{1'000};
  std::uint64_t max_requests = 200'000;
  std::uint32_t max_connections_per_target = 400;
  std::uint64_t seed = 1;
  std::vector<load_stream> streams;

  friend bool operator==(const load_plan&, const load_plan&) = default;
};

// {"targets":["IP:PORT"],"direct":BOOL,"repeat_lost":BOOL,"length_ms":N,
//  "max_requests":N,"max_connections":N,"seed":N,"streams":[{"name","service",
//  "rank","rate","keyed","keys":N,"distribution":"uniform|zipf|hot",
//  "exponent","hot","hot_share","replaced_every_ms","idempotent",
//  "deadline_ms","callers","from_ms","until_ms"}]}
// Only `targets` and each stream's `service` are required.
result<load_plan> ParseLoadPlan(const std::string& text);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_LOAD_PLAN_H_
