#include "Process.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace yardrill::tests {

Process::Process(const std::vector<std::string> &Command,
                 const std::string &LogFile) {
  std::vector<char *> Arguments;
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  m_Pid = fork();
  if (m_Pid < 0)
    throw std::runtime_error("fork failed");
  if (m_Pid > 0)
    return;
  // Ends the child also when the test is killed.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int Log = open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(Log, STDOUT_FILENO);
  dup2(Log, STDERR_FILENO);
  // A connection that the test closes would stay open in the child.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(Arguments[0], Arguments.data());
  _exit(127);
}

Process::~Process() { kill(); }

Process::Process(Process &&Other) noexcept
    : m_Pid(std::exchange(Other.m_Pid, 0)) {}

Process &Process::operator=(Process &&Other) noexcept {
  if (this != &Other) {
    kill();
    m_Pid = std::exchange(Other.m_Pid, 0);
  }
  return *this;
}

void Process::signal(int Number) const {
  if (m_Pid > 0)
    ::kill(m_Pid, Number);
}

void Process::kill() {
  if (m_Pid <= 0)
    return;
  signal(SIGKILL);
  wait();
}

static int toExitCode(int Status) {
  return WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
}

int Process::wait() {
  int Status = 0;
  if (m_Pid <= 0 || waitpid(m_Pid, &Status, 0) != m_Pid)
    return -1;
  m_Pid = 0;
  return toExitCode(Status);
}

std::optional<int> Process::poll() {
  int Status = 0;
  if (m_Pid <= 0 || waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
    return std::nullopt;
  m_Pid = 0;
  return toExitCode(Status);
}

static int bindFree(int Type, int Port) {
  int Socket = socket(AF_INET, Type, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  inet_pton(AF_INET, "127.0.0.1", &Address.sin_addr);
  socklen_t Size = sizeof Address;
  bool IsBound =
      bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) == 0;
  getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  close(Socket);
  return IsBound ? ntohs(Address.sin_port) : 0;
}

int freePort() {
  // Below the kernel's ephemeral range, so that no outgoing connection takes a
  // port while its process restarts. Tests that run in parallel start at
  // different ports.
  static const int First = 10000;
  static const int Count = 20000;
  static const int Stride = 193;
  static int Next = getpid() * Stride % Count;
  while (true) {
    int Port = First + Next++ % Count;
    if (bindFree(SOCK_STREAM, Port) == Port &&
        bindFree(SOCK_DGRAM, Port) == Port)
      return Port;
  }
}

} // namespace yardrill::tests
