#include "bluebell/ctl/run_command.h"

#include <variant>

#include "bluebell/ctl/internal/config_commands.h"
#include "bluebell/ctl/internal/show_commands.h"

namespace bluebell::ctl {

exit_status RunCommand(const invocation& wanted, const surroundings& world) {
  return std::visit(
      [&](const auto& what) { return internal::Run(what, world, wanted.json); },
      wanted.what);
}

}  // namespace bluebell::ctl
