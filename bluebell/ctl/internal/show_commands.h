// The commands that show the state of the fleet, and the one that gives up a
// failure domain.

#ifndef BLUEBELL_CTL_INTERNAL_SHOW_COMMANDS_H_
#define BLUEBELL_CTL_INTERNAL_SHOW_COMMANDS_H_

#include "bluebell/ctl/command.h"
#include "bluebell/ctl/exit_status.h"
#include "bluebell/ctl/run_command.h"

namespace bluebell::ctl::internal {

exit_status Run(const status_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const placement_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const explain_key_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const explain_request_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const domain_lost_command& wanted,
                const surroundings& world,
                bool json);

}  // namespace bluebell::ctl::internal

#endif  // BLUEBELL_CTL_INTERNAL_SHOW_COMMANDS_H_
