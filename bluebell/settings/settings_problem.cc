#include "bluebell/settings/settings_problem.h"

namespace bluebell {

std::ostream& operator<<(std::ostream& out, const settings_problem& v) {
  out << v.path << ": ";
  if (v.value.empty()) {
    out << "missing";
  } else {
    out << v.value << " is not allowed";
  }
  return out << "; allowed: " << v.allowed;
}

}  // namespace bluebell
