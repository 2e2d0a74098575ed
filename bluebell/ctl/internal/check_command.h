// The command that checks changes of the configuration before they are sent.

#ifndef BLUEBELL_CTL_INTERNAL_CHECK_COMMAND_H_
#define BLUEBELL_CTL_INTERNAL_CHECK_COMMAND_H_

#include "bluebell/ctl/command.h"
#include "bluebell/ctl/exit_status.h"
#include "bluebell/ctl/run_command.h"

namespace bluebell::ctl::internal {

// `has_daemon`: the changes are checked against the version in force and the
// fleet that the daemon knows.
exit_status Run(const config_check_command& wanted,
                bool has_daemon,
                const surroundings& world,
                bool json);

}  // namespace bluebell::ctl::internal

#endif  // BLUEBELL_CTL_INTERNAL_CHECK_COMMAND_H_
