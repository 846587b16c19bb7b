#include "CommandLine.h"
#include "DeploymentSettings.h"
#include "PlatformDialect.h"
#include "StoreClient.h"

#include "LibConfig/InstanceSettings.h"
#include "LibCore/Error.h"
#include "LibCore/Log.h"
#include "LibCore/NonBlockingLogWriter.h"
#include "LibCore/TimerService.h"
#include "LibGateway/Gateway.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <sstream>
#include <unistd.h>

DECLARE_string(config);
DEFINE_bool(least_outstanding, false,
            "choose targets by this instance's outstanding requests alone, "
            "without a queue; a baseline for measurements");
DEFINE_uint32(group_size, 0,
              "maximum number of instances in a group, which share a subset "
              "of the targets; 0: derived from the numbers of instances and "
              "targets");
DEFINE_string(overload_off, "",
              "comma-separated decisions under overload to turn off, for "
              "measurements, or all; named as in the settings' table overload");

namespace yardrill::program {

namespace {

/// Returns the switches that --overload_off names.
/// \throws core::Error of kind Usage for an unknown name.
std::vector<std::string> switchesTurnedOff() {
  if (FLAGS_overload_off == "all")
    return routing::OverloadSettings::switchNames();
  std::vector<std::string> Out;
  std::istringstream Names(FLAGS_overload_off);
  std::string Name;
  while (std::getline(Names, Name, ',')) {
    if (!routing::OverloadSettings().setSwitch(Name, false))
      throw core::Error(core::ErrorKind::Usage,
                        "--overload_off: unknown switch \"" + Name +
                            "\"; allowed: all, " +
                            routing::OverloadSettings::switchList());
    Out.push_back(Name);
  }
  return Out;
}

/// Process that runs a gateway::Gateway until SIGTERM or SIGINT; a later SIGINT
/// ends the stop. SIGHUP reloads the settings file.
class GatewayProgram {
public:
  GatewayProgram(std::string File, std::vector<std::string> SwitchesOff)
      : m_File(std::move(File)), m_SwitchesOff(std::move(SwitchesOff)),
        m_Log(STDOUT_FILENO, core::LogWriterLimits()),
        m_Signals(m_Context, SIGTERM, SIGINT, SIGHUP), m_Timers(m_Context) {
    core::setLogSink([this](const std::string &Line) {
      m_Log.add(Line, core::steadyNow());
    });
  }
  ~GatewayProgram() {
    m_Log.flush(core::steadyNow());
    core::setLogSink(nullptr);
  }
  GatewayProgram(const GatewayProgram &) = delete;
  GatewayProgram &operator=(const GatewayProgram &) = delete;

  int run() {
    auto Settings = loadSettings();
    platform::StoreClient Store(m_Context, Settings.m_Store);
    m_Gateway = gateway::Gateway::Builder()
                    .settings(Settings.m_Gateway)
                    .dialect(m_Dialect)
                    .store(Store)
                    .build(m_Context);
    m_Gateway->start();
    m_Timers.subscribe(LogFlushInterval,
                       [this](core::TimePoint Now) { m_Log.flush(Now); });
    m_Timers.subscribe(SettingsPollInterval,
                       [this](auto) { reloadIfChanged(); });
    waitForSignal();
    while (!m_Context.stopped())
      runEventLoop();
    return ExitSuccess;
  }

private:
  /// Log lines are written in batches to save system calls.
  static constexpr std::chrono::milliseconds LogFlushInterval{200};
  /// The platform may change the file without a signal.
  static constexpr std::chrono::seconds SettingsPollInterval{1};

  platform::DeploymentSettings loadSettings() {
    m_SettingsText = config::readFile(m_File);
    auto Settings = platform::DeploymentSettings::parse(m_SettingsText, m_File);
    if (FLAGS_least_outstanding)
      Settings.m_Gateway.m_Placement =
          routing::PlacementPolicy::LeastOutstanding;
    if (FLAGS_group_size > 0)
      Settings.m_Gateway.m_GroupSize = FLAGS_group_size;
    for (const std::string &Name : m_SwitchesOff)
      Settings.m_Gateway.m_Overload.setSwitch(Name, false);
    return Settings;
  }

  void runEventLoop() {
    try {
      m_Context.run();
    } catch (const std::exception &Failure) {
      // An exception of one request must not end the process.
      core::LogLine("loop-failure", core::LogLevel::Error)
          .add("reason", Failure.what());
    }
  }

  void reloadIfChanged() {
    try {
      std::string Previous = m_SettingsText;
      auto Settings = loadSettings();
      if (m_SettingsText != Previous)
        m_Gateway->reload(Settings.m_Gateway);
    } catch (const core::Error &Failure) {
      core::LogLine("reload-failed", core::LogLevel::Error)
          .add("file", m_File)
          .add("reason", Failure.what());
    }
  }

  void waitForSignal() {
    m_Signals.async_wait([this](boost::system::error_code Failure, int Signal) {
      if (Failure)
        return;
      if (Signal == SIGHUP)
        reloadIfChanged();
      else if (!m_IsStopping)
        stop();
      else if (Signal == SIGINT)
        m_Gateway->endStop();
      waitForSignal();
    });
  }

  void stop() {
    m_IsStopping = true;
    m_Gateway->stop([this] { m_Context.stop(); });
  }

  std::string m_File;
  std::vector<std::string> m_SwitchesOff; ///< Also if the file has them on.
  core::NonBlockingLogWriter m_Log;
  std::string m_SettingsText; ///< As last read.
  boost::asio::io_context m_Context{1};
  boost::asio::signal_set m_Signals;
  core::SteadyTimerService m_Timers;
  platform::PlatformDialect m_Dialect;
  std::unique_ptr<gateway::Gateway> m_Gateway;
  bool m_IsStopping = false;
};

} // namespace

int runGateway(const std::vector<std::string> &) {
  std::signal(SIGPIPE, SIG_IGN);
  std::vector<std::string> SwitchesOff = switchesTurnedOff();
  std::string File = FLAGS_config.empty()
                         ? platform::DeploymentSettings::pathFromEnvironment()
                         : FLAGS_config;
  return GatewayProgram(File, std::move(SwitchesOff)).run();
}

} // namespace yardrill::program
