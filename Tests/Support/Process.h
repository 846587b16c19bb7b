//===-- Process.h - A process that a test started -------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_PROCESS_H
#define YARDRILL_TESTS_SUPPORT_PROCESS_H

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace yardrill::tests {

/// Ends its own process, by id, when destroyed.
class Process {
public:
  Process() = default;
  /// Standard output and error go to \p LogFile.
  Process(const std::vector<std::string> &Command, const std::string &LogFile);
  ~Process();
  Process(Process &&Other) noexcept;
  Process &operator=(Process &&Other) noexcept;

  bool isRunning() const { return m_Pid > 0; }
  void signal(int Number) const;
  /// SIGKILL, and waits for the end.
  void kill();
  /// Waits for the end. \returns the exit code, or minus the signal's number.
  int wait();
  /// The same if it has ended already; else nothing.
  std::optional<int> poll();

private:
  pid_t m_Pid = 0;
};

/// A port on loopback that was free a moment ago, for TCP and UDP.
int freePort();

} // namespace yardrill::tests

#endif
