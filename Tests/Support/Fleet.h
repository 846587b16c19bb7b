//===-- Fleet.h - Instances and stand-ins as real processes ---------------===//
#ifndef YARDRILL_TESTS_SUPPORT_FLEET_H
#define YARDRILL_TESTS_SUPPORT_FLEET_H

#include "Process.h"
#include "TestClient.h"

#include <string>
#include <vector>

namespace yardrill::tests {

/// Instances, a platform, an application and model engines on loopback. The
/// destructor kills all processes.
class Fleet {
public:
  /// Size, limits and settings of the fleet.
  struct Options {
    int m_Instances = 1;
    int m_Engines = 1;
    int m_Slots = 8; ///< Slots of each target.
    int m_QueueLimit = 1000;
    int m_DeadlineMilliseconds[3] = {60000, 60000, 60000}; ///< By tier.
    std::string m_EngineFlags = "--decode_rate=200";
    std::string m_ExtraSettings; ///< YAML sections appended to the settings.
  };

  /// Process of an instance, with its ports and files.
  struct Instance {
    Process m_Process;
    int m_CallerPort = 0;
    int m_OperatorPort = 0;
    int m_PeerPort = 0;
    std::string m_SettingsFile;
    std::string m_LogFile;
    std::string m_TraceFile;
  };

  explicit Fleet(const Options &FleetOptions);
  ~Fleet();

  /// Starts instance \p Index, also after it has ended.
  void start(int Index);
  /// Publishes the configuration and waits until all instances know each other,
  /// apply it and admit every tier in every pool. \returns false on a timeout.
  bool waitUntilServing();
  /// Publishes a fleet configuration through instance \p Index.
  /// \param Base version that it replaces.
  /// \param Change id of the change; publishing it again adds no version.
  /// \returns the response.
  Reply publish(int Index, int Base, const std::string &Change,
                const std::string &Text);
  Reply callOperatorApi(int Index, const std::string &Path);
  boost::json::object status(int Index);
  /// Returns the configuration for this fleet, with \p LeavingTarget marked as
  /// leaving.
  std::string configuration(const std::string &LeavingTarget = "") const;

  Instance &at(int Index) { return m_Instances[static_cast<size_t>(Index)]; }
  int platformPort() const { return m_PlatformPort; }
  int applicationPort() const { return m_ApplicationPort; }
  int enginePort(int Index) const {
    return m_EnginePorts[static_cast<size_t>(Index)];
  }
  Process &platform() { return m_Platform; }
  Process &application() { return m_Application; }
  Process &engine(int Index) { return m_Engines[static_cast<size_t>(Index)]; }
  void startApplication();
  /// Returns all log lines of all instances, including earlier processes.
  std::vector<std::string> logLines() const;
  /// Returns the log lines that report internal failures; empty if there are
  /// none.
  std::string internalFailures() const;
  /// Whether any fleet of this program had an internal failure; TestMain fails
  /// then.
  static bool hadInternalFailures();

private:
  void writeSettings(Instance &Configured, int Index) const;

  Options m_Options;
  std::string m_Folder;
  int m_PlatformPort = 0;
  int m_ApplicationPort = 0;
  std::vector<int> m_EnginePorts;
  Process m_Platform;
  Process m_Application;
  std::vector<Process> m_Engines;
  std::vector<Instance> m_Instances;
};

/// Returns the path of a built program.
std::string program(const std::string &Name);
/// Returns a request to the application pool `seats` by the client account
/// `box-office`.
http::RequestMessage applicationRequest(const std::string &Path,
                                        const std::string &Identity,
                                        const std::string &Body = "x");
/// Returns a completion request by the client account `box-office`.
http::RequestMessage completionRequest(const std::string &Prompt, int Tokens,
                                       bool IsStream,
                                       const std::string &Tier = "");
/// Returns the text of a completion's response, streamed or not.
std::string completionText(const Reply &Response);
/// Returns how often the application executed \p Identity.
std::int64_t executionsOf(int ApplicationPort, const std::string &Identity);
std::string issueTicket(int CallerPort);

} // namespace yardrill::tests

#endif
