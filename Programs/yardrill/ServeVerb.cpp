#include "CommandLine.h"

#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibInstance/Instance.h"

#include <atomic>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <pthread.h>
#include <sys/resource.h>
#include <thread>
#include <unistd.h>

DEFINE_string(config, "", "settings file of this instance");

namespace yardrill::program {

/// Raises the soft limit of file descriptors to the hard limit, since each
/// connection needs one.
static void raiseDescriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0)
    return;
  Limit.rlim_cur = Limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &Limit);
}

static int waitForSignal(const sigset_t &Signals) {
  int Signal = 0;
  sigwait(&Signals, &Signal);
  return Signal;
}

int runServe(const std::vector<std::string> &) {
  if (FLAGS_config.empty())
    throw core::Error(core::ErrorKind::Usage, "serve needs --config=FILE");
  auto Settings = config::InstanceSettings::load(FLAGS_config);
  raiseDescriptorLimit();
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  // Blocked before any thread starts, so that only sigwait() receives them.
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  auto Instance =
      instance::InstanceBuilder().settings(std::move(Settings)).build();
  Instance->start();
  waitForSignal(Signals);
  std::atomic<bool> IsStopForced{false};
  // A SIGINT breaks off open requests; a repeated SIGTERM changes nothing.
  std::thread SecondSignalThread([&] {
    while (waitForSignal(Signals) != SIGINT) {
      // The stop goes on.
    }
    IsStopForced = true;
  });
  Instance->drain(IsStopForced);
  bool WasForced = IsStopForced;
  // Ends the second thread's wait; all other threads block the signal.
  if (!WasForced)
    kill(getpid(), SIGINT);
  SecondSignalThread.join();
  return WasForced ? ExitFailure : ExitSuccess;
}

} // namespace yardrill::program
