// A gateway gets SIGTERM while requests wait in it for a free slot of their
// service. Checks that each of them is answered.

#include <algorithm>
#include <csignal>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standins/deployment.h"
#include "review/standins/upstream.h"

namespace review {
namespace {

constexpr int kRequests = 56;
constexpr milliseconds kBetweenRequests{20};
constexpr milliseconds kTimeLimit{15'000};
// The mean work of `note-history` on the users' sheet.
constexpr milliseconds kWork{880};
constexpr milliseconds kGrace{6'000};
// LossSlackS of the users' sheet.
constexpr milliseconds kLossSlack{200};

struct sent_request {
  std::string attempt;
  instant sent_at;
  instant ended_at;
  int status = 0;
};

// True if an upstream was at work on the request in the last sixth of GraceS.
bool WasAtWorkLate(const std::vector<request_run>& runs,
                   const std::string& attempt,
                   instant stopped_at) {
  const instant from = stopped_at + kGrace * 5 / 6;
  return std::any_of(runs.begin(), runs.end(), [&](const request_run& run) {
    return run.attempt == attempt && run.began < stopped_at + kGrace &&
           (!run.ended || *run.ended >= from);
  });
}

[[noreturn]] void Run(const std::string& record_file) {
  run_record record(record_file);
  store platform;
  platform.Put(
      "op/config",
      ConfigText("00000001",
                 {{"note-history", "/notes/", "safe", "manifest", 15, 5, 2, 2}},
                 {{"manifest", false}}));
  upstream first({"i-1", "manifest"}, platform, record);
  upstream second({"i-2", "manifest"}, platform, record);
  for (upstream* each : {&first, &second}) {
    each->work_time = [](const http_message&) { return kWork; };
    each->Start();
  }
  gateway stopped(1, platform.port(), record);
  gateway other(2, platform.port(), record);
  if (!stopped.WaitReady(milliseconds(10'000)) ||
      !other.WaitReady(milliseconds(10'000))) {
    record.Conclude("a gateway isn't ready: the case can't run");
    End(2);
  }
  // Until both know each other.
  Sleep(milliseconds(3'000));
  std::mutex mutex;
  std::vector<sent_request> requests(kRequests);
  std::vector<std::thread> clients;
  clients.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    clients.emplace_back([&, i] {
      sent_request request;
      request.attempt = "note-" + std::to_string(i);
      request.sent_at = Now();
      const auto answer = Call(stopped.front_port(),
                               {"GET", "/notes/" + std::to_string(i),
                                request.attempt, std::nullopt, kTimeLimit},
                               record);
      request.ended_at = Now();
      request.status = answer ? answer->status() : 0;
      const std::lock_guard lock(mutex);
      requests[static_cast<std::size_t>(i)] = request;
    });
    Sleep(kBetweenRequests);
  }
  Sleep(milliseconds(500));
  const instant stopped_at = Now();
  if (HasTrouble()) {
    stopped.Signal(SIGTERM);
    while (!stopped.HasEnded() && Now() < stopped_at + kGrace) {
      Sleep(milliseconds(10));
    }
    stopped.Kill();
  }
  for (std::thread& each : clients) {
    each.join();
  }
  std::vector<request_run> runs = first.Runs();
  for (const request_run& run : second.Runs()) {
    runs.push_back(run);
  }
  int lost = 0;
  int answered = 0;
  for (const sent_request& each : requests) {
    answered += each.status != 0 ? 1 : 0;
    const bool had_time = each.ended_at < each.sent_at + kTimeLimit &&
                          each.ended_at > each.sent_at + kLossSlack;
    if (each.status == 0 && had_time &&
        !WasAtWorkLate(runs, each.attempt, stopped_at)) {
      ++lost;
      record.Add("LOST: " + each.attempt + ", " +
                 std::to_string(std::chrono::duration_cast<milliseconds>(
                                    each.ended_at - each.sent_at)
                                    .count()) +
                 " ms after it was sent");
    }
  }
  record.Conclude(std::to_string(kRequests) + " requests, " +
                  std::to_string(answered) + " answered, " +
                  std::to_string(lost) +
                  " whole requests ended without an answer (LOST)");
  stopped.Kill();
  other.Kill();
  // The threads of the stand-ins still use what was made here.
  End(lost > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  review::RunStart();
  review::Run(argc > 1 ? argv[1] : "record.txt");
}
