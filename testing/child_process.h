// A process that a test started and ends when the object goes away.
//
//   auto daemon = child_process::Start("build/programs/bluebelld", {"s.json"},
//                                      "daemon.log");
//   daemon.value().Signal(SIGSTOP);

#ifndef BLUEBELL_TESTING_CHILD_PROCESS_H_
#define BLUEBELL_TESTING_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "bluebell/core/result.h"
#include "bluebell/core/time.h"

namespace bluebell {

class child_process {
 public:
  // Both outputs go to the end of `log_file`.
  static result<child_process> Start(const std::string& program,
                                     const std::vector<std::string>& arguments,
                                     const std::string& log_file);

  child_process(child_process&& other) noexcept;
  child_process& operator=(child_process&& other) noexcept;
  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;
  // Kills the process if it still runs.
  ~child_process();

  void Signal(int number) const;

  // The exit status, or 128 plus the number of the signal that ended it. Empty
  // if it still runs after `limit`.
  std::optional<int> Wait(milliseconds limit);

  pid_t pid() const { return pid_; }

 private:
  explicit child_process(pid_t pid) : pid_(pid) {}

  void Kill();

  // Zero: no process.
  pid_t pid_ = 0;
};

}  // namespace bluebell

#endif  // BLUEBELL_TESTING_CHILD_PROCESS_H_
