// Sends the load that a plan on standard input describes and prints a summary
// in JSON.

#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

#include "testing/load_run.h"

namespace {

constexpr const char* kUsage = R"(Load generator.

Usage:
  load [--records=FILE] [--direct]

Options:
  --records=FILE  Write one line of JSON for each request.
  --direct        The target is an endpoint that checks nothing.

The plan is read from standard input; testing/load_plan.h describes it.
)";

int Run(bool direct, const std::string& records_file) {
  const std::string text{std::istreambuf_iterator<char>(std::cin), {}};
  const auto parsed = bluebell::ParseLoadPlan(text);
  if (!parsed) {
    std::cerr << parsed.error() << '\n';
    return 2;
  }
  bluebell::load_plan plan = parsed.value();
  plan.direct = plan.direct || direct;
  const bluebell::load_report report = bluebell::RunLoad(plan);
  if (!records_file.empty()) {
    std::ofstream(records_file) << bluebell::RecordLines(plan, report);
  }
  std::cout << bluebell::SummaryJson(plan, report) << '\n';
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    auto options = docopt::docopt(kUsage, {argv + 1, argv + argc});
    const auto& records = options.at("--records");
    return Run(options.at("--direct").asBool(),
               records ? records.asString() : "");
  } catch (const std::exception& failure) {
    std::cerr << failure.what() << '\n';
    return 2;
  }
}
