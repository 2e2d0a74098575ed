// Exit statuses of bluebellctl. Scripts rely on the numbers.

#ifndef BLUEBELL_CTL_EXIT_STATUS_H_
#define BLUEBELL_CTL_EXIT_STATUS_H_

namespace bluebell::ctl {

enum class exit_status {
  kOk = 0,
  // The daemon refused, or what was asked for doesn't exist.
  kRefused = 1,
  kUsage = 2,
  // No daemon answered. A change may have taken effect if the message says so.
  kUnreachable = 3,
  // Somebody else changed the configuration first.
  kConflict = 4,
  // The version was not in force everywhere in time.
  kWaitTimedOut = 5,
  // The check found something wrong.
  kFindings = 6,
  // The file can't be read, or isn't JSON.
  kUnreadableFile = 7,
};

}  // namespace bluebell::ctl

#endif  // BLUEBELL_CTL_EXIT_STATUS_H_
