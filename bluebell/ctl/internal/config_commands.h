// The commands that read and change the configuration.

#ifndef BLUEBELL_CTL_INTERNAL_CONFIG_COMMANDS_H_
#define BLUEBELL_CTL_INTERNAL_CONFIG_COMMANDS_H_

#include "bluebell/ctl/command.h"
#include "bluebell/ctl/exit_status.h"
#include "bluebell/ctl/run_command.h"

namespace bluebell::ctl::internal {

exit_status Run(const config_get_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const config_history_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const config_wait_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const config_set_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const except_add_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const except_remove_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const drain_command& wanted,
                const surroundings& world,
                bool json);
exit_status Run(const undrain_command& wanted,
                const surroundings& world,
                bool json);

}  // namespace bluebell::ctl::internal

#endif  // BLUEBELL_CTL_INTERNAL_CONFIG_COMMANDS_H_
