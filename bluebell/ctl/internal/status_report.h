// The text of `bluebellctl status`.

#ifndef BLUEBELL_CTL_INTERNAL_STATUS_REPORT_H_
#define BLUEBELL_CTL_INTERNAL_STATUS_REPORT_H_

#include <string>
#include <vector>

#include "bluebell/ctl/internal/admin_page.h"
#include "bluebell/ctl/internal/rank_summary.h"

namespace bluebell::ctl::internal {

// Two readings of the metrics, one second apart.
struct rank_report {
  metrics_page earlier;
  metrics_page later;
};

// What isn't well, each with what to do about it. Empty if all is well.
std::vector<std::string> FindProblems(const status_page& status,
                                      const rank_report& ranks);

// `all`: also lists the daemons and endpoints that are well.
std::string StatusText(const status_page& status,
                       const rank_report& ranks,
                       bool all);

}  // namespace bluebell::ctl::internal

#endif  // BLUEBELL_CTL_INTERNAL_STATUS_REPORT_H_
