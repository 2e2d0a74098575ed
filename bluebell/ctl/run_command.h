// Carries out the commands of bluebellctl.
//
//   const exit_status status = RunCommand(parsed, surroundings);

#ifndef BLUEBELL_CTL_RUN_COMMAND_H_
#define BLUEBELL_CTL_RUN_COMMAND_H_

#include <functional>
#include <ostream>
#include <string>

#include "bluebell/core/result.h"
#include "bluebell/core/time.h"
#include "bluebell/ctl/admin_channel.h"
#include "bluebell/ctl/command_line.h"
#include "bluebell/ctl/exit_status.h"

namespace bluebell::ctl {

// All through which a command reaches the world.
struct surroundings {
  admin_channel channel;
  std::function<instant()> now;
  std::function<void(milliseconds)> sleep;
  // The content of a file. The error names the path.
  std::function<result<std::string>(const std::string& path)> read_file;
  std::ostream& out;
  std::ostream& err;
};

// For surroundings::read_file.
result<std::string> ReadWholeFile(const std::string& path);

exit_status RunCommand(const invocation& wanted, const surroundings& world);

}  // namespace bluebell::ctl

#endif  // BLUEBELL_CTL_RUN_COMMAND_H_
