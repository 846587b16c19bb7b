//===-- Process.h - Child process of a test -------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_PROCESS_H
#define YARDRILL_TESTS_SUPPORT_PROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace yardrill::tests {

/// Owns a child process and kills it when destroyed.
class Process {
public:
  Process() = default;
  /// Starts \p Command, which begins with the path of the program. Standard
  /// output and error are appended to \p LogFile. \throws std::runtime_error if
  /// fork(2) fails.
  Process(const std::vector<std::string> &Command, const std::string &LogFile);
  ~Process();
  Process(Process &&Other) noexcept;
  Process &operator=(Process &&Other) noexcept;

  bool isRunning() const { return m_Pid > 0; }
  void signal(int Number) const;
  /// Sends SIGKILL and waits for the process to end.
  void kill();
  /// Waits for the process to end. \returns the exit code, or the negated
  /// signal number; -1 if there is no process.
  int wait();
  /// Returns the result of wait() if the process has ended, else std::nullopt.
  std::optional<int> poll();

private:
  pid_t m_Pid = 0;
};

/// Returns a loopback port that is free for TCP and UDP. Another process may
/// take it before it is used.
int freePort();

} // namespace yardrill::tests

#endif
