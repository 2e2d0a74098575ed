#include "bluebell/settings/settings_problem.h"

namespace bluebell {

std::ostream& operator<<(std::ostream& out, const settings_problem& problem) {
  out << problem.path << ": ";
  if (problem.value.empty()) {
    out << "missing";
  } else {
    out << problem.value << " is not allowed";
  }
  return out << "; allowed: " << problem.allowed;
}

}  // namespace bluebell
