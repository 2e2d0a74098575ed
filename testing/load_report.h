// What came of each request of a load run, and the figures made from it.
//
//   load_report report = RunLoad(plan);
//   std::string json = SummaryJson(plan, report);

#ifndef BLUEBELL_TESTING_LOAD_REPORT_H_
#define BLUEBELL_TESTING_LOAD_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bluebell/core/time.h"
#include "testing/load_plan.h"

namespace bluebell {

// The first three are what the router says. `kNoReply`: the connection was
// lost or refused, or nothing came in time. `kForeignReply`: a response to
// another request, or to none.
enum class load_outcome : std::uint8_t {
  kAnswer,
  kNotRun,
  kUnknown,
  kNoReply,
  kForeignReply,
};

const char* ToString(load_outcome value);

struct load_record {
  std::size_t stream = 0;
  std::string id;
  std::string key;
  load_outcome outcome = load_outcome::kNoReply;
  unsigned status = 0;
  // The router's reason, or what went wrong with the connection.
  std::string reason;
  // From the start of the run.
  duration intended{0};
  duration ended{0};

  friend bool operator==(const load_record&, const load_record&) = default;
};

struct load_report {
  // In the order of their ends.
  std::vector<load_record> records;

  friend bool operator==(const load_report&, const load_report&) = default;
};

struct load_figures {
  std::uint64_t sent = 0;
  std::uint64_t answers = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t no_reply = 0;
  std::uint64_t foreign = 0;
  // Answers within the deadline, over all requests.
  double in_time_share = 0;
  // Of answers, from the intended time of sending.
  double p50_ms = 0;
  double p99_ms = 0;

  friend bool operator==(const load_figures&, const load_figures&) = default;
};

// The figures of the requests of one stream that were meant to be sent in
// [from, until).
load_figures FiguresOf(const load_plan& plan,
                       const load_report& report,
                       std::size_t stream,
                       duration from = duration(0),
                       duration until = duration::max());

// {"streams":[{"name","service","rank","sent",...,"reasons":{...}}]}
std::string SummaryJson(const load_plan& plan, const load_report& report);

// One JSON object a line for each request.
std::string RecordLines(const load_plan& plan, const load_report& report);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_LOAD_REPORT_H_
