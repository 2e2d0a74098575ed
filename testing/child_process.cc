#include "testing/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <csignal>
#include <system_error>
#include <thread>
#include <utility>

namespace bluebell {

namespace {

constexpr int kExecFailed = 127;
constexpr int kSignalBase = 128;

// Runs in the new process; calls only what is safe after fork.
[[noreturn]] void Become(char* const* arguments, int log) {
  // A test that is killed must not leave processes behind.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::dup2(log, STDOUT_FILENO);
  ::dup2(log, STDERR_FILENO);
  // Sockets of the parent would otherwise stay open and bound in the child.
  ::close_range(STDERR_FILENO + 1, ~0U, 0);
  ::execv(arguments[0], arguments);
  ::_exit(kExecFailed);
}

error StartFailure(const std::string& program) {
  return {std::error_code(errno, std::generic_category()), step::kListen,
          program, "the process can't be started"};
}

}  // namespace

result<child_process> child_process::Start(
    const std::string& program,
    const std::vector<std::string>& arguments,
    const std::string& log_file) {
  std::vector<std::string> texts = arguments;
  texts.insert(texts.begin(), program);
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (std::string& text : texts) {
    pointers.push_back(text.data());
  }
  pointers.push_back(nullptr);
  const int log =
      ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (log < 0) {
    return StartFailure(log_file);
  }
  const pid_t pid = ::fork();
  if (pid == 0) {
    Become(pointers.data(), log);
  }
  ::close(log);
  if (pid < 0) {
    return StartFailure(program);
  }
  return child_process(pid);
}

child_process::child_process(child_process&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)) {}

child_process& child_process::operator=(child_process&& other) noexcept {
  if (this != &other) {
    Kill();
    pid_ = std::exchange(other.pid_, 0);
  }
  return *this;
}

child_process::~child_process() {
  Kill();
}

void child_process::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

void child_process::Signal(int number) const {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

std::optional<int> child_process::Wait(milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (pid_ > 0) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = 0;
      return WIFEXITED(status) ? WEXITSTATUS(status)
                               : kSignalBase + WTERMSIG(status);
    }
    if (std::chrono::steady_clock::now() >= until) {
      break;
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  return std::nullopt;
}

}  // namespace bluebell
