#include "bluebell/ctl/run_command.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>
#include <variant>

#include "bluebell/core/overloaded.h"
#include "bluebell/ctl/internal/check_command.h"
#include "bluebell/ctl/internal/config_commands.h"
#include "bluebell/ctl/internal/show_commands.h"

namespace bluebell::ctl {

exit_status RunCommand(const invocation& wanted, const surroundings& world) {
  return std::visit(overloaded{[&](const config_check_command& what) {
                                 return internal::Run(what,
                                                      !wanted.admin.empty(),
                                                      world, wanted.json);
                               },
                               [&](const auto& what) {
                                 return internal::Run(what, world, wanted.json);
                               }},
                    wanted.what);
}

result<std::string> ReadWholeFile(const std::string& path) {
  // A directory can be opened as a file.
  std::error_code failure;
  const bool is_directory = std::filesystem::is_directory(path, failure);
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  content << file.rdbuf();
  if (!file.is_open() || is_directory || file.bad()) {
    return error(errc::kNotFound, step::kParseConfig, path,
                 "the file can't be read");
  }
  return content.str();
}

}  // namespace bluebell::ctl
