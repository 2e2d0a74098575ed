// What the endpoints of one process ran, so that tests can look for double runs
// and for two owners of a key.
//
//   std::size_t row = log.Begin({...});
//   log.End(row, now);

#ifndef BLUEBELL_TESTING_EXECUTION_LOG_H_
#define BLUEBELL_TESTING_EXECUTION_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "bluebell/core/result.h"

namespace bluebell {

struct execution {
  std::string id;
  std::string key;
  std::string service;
  std::string endpoint;
  std::uint64_t run = 0;
  // Zero for services without keys.
  std::uint64_t at = 0;
  // On the monotonic clock of the host, which all its processes share. An end
  // of zero: the execution hasn't ended, or its endpoint was killed.
  std::int64_t begin_ns = 0;
  std::int64_t end_ns = 0;

  friend bool operator==(const execution&, const execution&) = default;
};

class execution_log {
 public:
  // Returns the row for End. Beyond kMaxRows executions are only counted.
  std::size_t Begin(execution begun);
  void End(std::size_t row, std::int64_t now_ns);

  // {"dropped":N,"executions":[...]}, with those of one endpoint or, if
  // `endpoint` is empty, of all.
  std::string ToJson(const std::string& endpoint) const;

  static constexpr std::size_t kMaxRows = 500'000;

 private:
  std::vector<execution> rows_;
  std::size_t dropped_ = 0;
};

// Reads what ToJson wrote.
result<std::vector<execution>> ParseExecutions(const std::string& text);

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_EXECUTION_LOG_H_
