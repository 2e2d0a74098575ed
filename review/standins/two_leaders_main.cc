// A world for a case in which a daemon takes the coordinator's role from a live
// coordinator: the store, six endpoints with keys and six without, callers, and
// nine gateways as processes of their own. The store states an era above zero,
// as after an earlier drill. In each round the coordinator is stopped in order
// while the store is slow, its successor is cut off from the store, and one
// endpoint leaves without a report.
//
//   two_leaders PROGRAM FOLDER FIRST_PORT SEED TROUBLE

#include <algorithm>
#include <csignal>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <regex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "bluebell/core/boot_clock.h"
#include "testing/gateway/gateway_world.h"
#include "testing/gateway/key_holders.h"
#include "testing/gateway/kv_standin.h"
#include "testing/gateway/soak_endpoint.h"

namespace bluebell {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;
constexpr std::size_t kGateways = 9;
constexpr std::size_t kKeyedEndpoints = 6;
// The whole run stays under 120 s.
constexpr milliseconds kLongestRun{100'000};
// The first keys are granted 14 s after the start, since no daemon knows what
// was granted before.
constexpr milliseconds kStart{20'000};
// The largest dose of platform_slow: 60 times 4 ms, for 4.5 s.
constexpr milliseconds kSlowBy{240};
constexpr milliseconds kSlowFor{4'500};
// The cut of the new coordinator begins this long after its claim.
constexpr milliseconds kCutAfterClaim{450};
// The longest core_cut of the leader in the site file. One machine is cut.
constexpr milliseconds kCutFor{4'000};
// An endpoint that leaves serves on for a while and then exits.
constexpr milliseconds kServesOn{10'000};
// A quarter of the twelve endpoints leaves at most, as with scale_in.
constexpr std::size_t kMaxRounds = 3;
constexpr milliseconds kRound{16'000};
constexpr milliseconds kStep{5};
// OWNER: "hold the same keys for over half a second".
constexpr milliseconds kLongestSharedHold{500};

using daemon_index = std::optional<std::size_t>;

// Keys that two endpoints held at the same time.
struct shared_hold {
  int first = 0;
  int last = 0;
  std::string one;
  std::string other;
  instant from;
  instant until;
};

class leader_case {
 public:
  leader_case(gateway_world& world, const std::string& folder)
      : world_(world),
        record_(folder + "/record.txt"),
        began_(BootNow()),
        ends_(began_ + kLongestRun) {}

  int Run(bool trouble);

 private:
  void Note(const std::string& text) {
    record_
        << std::chrono::duration_cast<milliseconds>(BootNow() - began_).count()
        << " ms " << text << std::endl;
  }

  // Runs the world, and calls `on_change` at each change of the coordinator
  // that the store names.
  void Watch(milliseconds length,
             const std::function<void(daemon_index, daemon_index)>& on_change);
  void Watch(milliseconds length) {
    Watch(length, [](daemon_index, daemon_index) {});
  }
  void RunRound(bool trouble);
  void BeginTrouble(std::size_t successor);
  // Takes note of what the endpoints found wrong since the last call.
  void NoteViolations();
  // True if the endpoint began a request on the shared keys in the shared time.
  bool HasBegun(const std::string& process, const shared_hold& hold) const;
  // The shared holds in which both endpoints began requests.
  std::size_t CountServedAtTwo() const;

  gateway_world& world_;
  std::ofstream record_;
  instant began_;
  instant ends_;
  daemon_index coordinator_;
  std::size_t noted_ = 0;
  std::vector<shared_hold> shared_holds_;
  std::size_t overwritten_ = 0;
  std::size_t next_to_leave_ = 0;
};

std::string Name(daemon_index index) {
  return index ? "front-" + std::to_string(*index) : std::string("nobody");
}

void leader_case::Watch(
    milliseconds length,
    const std::function<void(daemon_index, daemon_index)>& on_change) {
  const instant until = std::min(BootNow() + length, ends_);
  while (BootNow() < until) {
    world_.RunFor(kStep);
    NoteViolations();
    const daemon_index now = world_.Coordinator();
    if (now != coordinator_) {
      const daemon_index before = std::exchange(coordinator_, now);
      Note("the store names " + Name(now) + " as coordinator, before " +
           Name(before));
      on_change(before, now);
    }
  }
}

void leader_case::BeginTrouble(std::size_t successor) {
  const std::string link = "store-" + std::to_string(successor);
  world_.After(kCutAfterClaim, [this, link] {
    Note("cut " + link);
    world_.SetLinkFault(link, lose_bytes{}, true);
    const std::size_t leaving = next_to_leave_++ % kKeyedEndpoints;
    Note("endpoint i-" + std::to_string(leaving) +
         " leaves: its entry is removed, it serves on");
    world_.UnlistEndpoint(leaving);
    world_.After(kServesOn, [this, leaving] {
      Note("endpoint i-" + std::to_string(leaving) + " exits");
      world_.KillEndpoint(leaving);
    });
  });
  world_.After(kCutAfterClaim + kCutFor, [this, link] {
    Note("heal " + link);
    world_.SetLinkFault(link, pass_all{}, false);
  });
}

void leader_case::RunRound(bool trouble) {
  const daemon_index stopped = coordinator_;
  if (!stopped) {
    return;
  }
  if (trouble) {
    Note("the store is slow");
    world_.store().SetFault(store_slow{kSlowBy});
    world_.After(kSlowFor, [this] {
      Note("the store is well");
      world_.store().SetFault(store_well{});
    });
  }
  Note("SIGTERM " + Name(stopped));
  world_.SignalGateway(*stopped, SIGTERM);
  bool begun = false;
  Watch(kRound, [&](daemon_index before, daemon_index now) {
    if (before && now && before != stopped) {
      ++overwritten_;
      Note("the claim of " + Name(before) + " was replaced while it was live");
    }
    if (trouble && now && now != stopped && !std::exchange(begun, true)) {
      BeginTrouble(*now);
    }
  });
  if (world_.GatewayEnded(*stopped)) {
    world_.StartGateway(*stopped);
  }
  Watch(milliseconds(2'000));
}

std::optional<shared_hold> ReadSharedHold(const std::string& text,
                                          instant now) {
  static const std::regex pattern(
      "keys (\\d+) to (\\d+) granted to (\\S+) with fence \\d+ while (\\S+) "
      "holds (\\d+) to (\\d+) with fence \\d+ for (\\d+) ms more");
  std::smatch found;
  if (!std::regex_match(text, found, pattern)) {
    return std::nullopt;
  }
  const auto number = [&](std::size_t group) {
    return std::stoi(found[group].str());
  };
  shared_hold hold;
  hold.first = std::max(number(1), number(5));
  hold.last = std::min(number(2), number(6));
  hold.one = found[3].str();
  hold.other = found[4].str();
  hold.from = now;
  hold.until = now + milliseconds(number(7));
  return hold;
}

void leader_case::NoteViolations() {
  const auto& found = world_.holders().violations();
  for (; noted_ < found.size(); ++noted_) {
    Note(found[noted_]);
    const auto hold = ReadSharedHold(found[noted_], BootNow());
    if (hold && hold->until - hold->from > kLongestSharedHold) {
      shared_holds_.push_back(*hold);
    }
  }
}

bool leader_case::HasBegun(const std::string& process,
                           const shared_hold& hold) const {
  const std::string endpoint = process.substr(0, process.find('/'));
  const auto& executions = world_.record().executions;
  return std::any_of(
      executions.begin(), executions.end(), [&](const auto& each) {
        return each.endpoint == endpoint && each.key &&
               hold.first <= *each.key && *each.key <= hold.last &&
               hold.from <= each.begun && each.begun <= hold.until;
      });
}

std::size_t leader_case::CountServedAtTwo() const {
  return static_cast<std::size_t>(std::count_if(
      shared_holds_.begin(), shared_holds_.end(), [&](const auto& hold) {
        return HasBegun(hold.one, hold) && HasBegun(hold.other, hold);
      }));
}

int leader_case::Run(bool trouble) {
  // The drill, before any daemon has read the store.
  world_.store().RollBack(milliseconds(0));
  Watch(kStart);
  if (!coordinator_ || !shared_holds_.empty()) {
    Note("no calm start");
    return kNotRun;
  }
  for (std::size_t i = 0; i < kMaxRounds && shared_holds_.empty(); ++i) {
    RunRound(trouble);
  }
  world_.StopCallers();
  NoteViolations();
  std::size_t served = 0;
  for (const sent_request& each : world_.record().requests) {
    served += each.status == 200 ? 1 : 0;
  }
  Note("requests " + std::to_string(world_.record().requests.size()) +
       ", served " + std::to_string(served) + ", live claims replaced " +
       std::to_string(overwritten_) + ", holds shared for over 500 ms " +
       std::to_string(shared_holds_.size()) +
       ", in which both endpoints began requests " +
       std::to_string(CountServedAtTwo()));
  return !shared_holds_.empty() ? kBroken : kHeld;
}

int Start(const std::string& program,
          const std::string& folder,
          const std::string& port,
          const std::string& seed,
          bool trouble) {
  gateway_world_options options;
  options.seed = std::stoull(seed);
  options.program = program;
  options.folder = folder;
  options.first_port = static_cast<std::uint16_t>(std::stoul(port));
  options.gateways = kGateways;
  options.keyed_endpoints = kKeyedEndpoints;
  auto world = gateway_world::Make(options);
  if (!world) {
    std::cerr << world.error().ToString() << '\n';
    return kNotRun;
  }
  return leader_case(*world.value(), folder).Run(trouble);
}

}  // namespace
}  // namespace bluebell

int main(int argc, char** argv) {
  constexpr int kArguments = 6;
  if (argc != kArguments) {
    std::cerr << "usage: two_leaders PROGRAM FOLDER FIRST_PORT SEED TROUBLE\n";
    return bluebell::kNotRun;
  }
  try {
    return bluebell::Start(argv[1], argv[2], argv[3], argv[4],
                           std::string_view(argv[5]) != "0");
  } catch (const std::exception& failure) {
    std::cerr << "two_leaders: " << failure.what() << '\n';
    return bluebell::kNotRun;
  }
}
