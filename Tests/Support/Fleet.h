//===-- Fleet.h - Instances and stand-ins as real processes ---------------===//
#ifndef YARDRILL_TESTS_SUPPORT_FLEET_H
#define YARDRILL_TESTS_SUPPORT_FLEET_H

#include "Process.h"
#include "TestClient.h"

#include <string>
#include <vector>

namespace yardrill::tests {

/// A small fleet on loopback. Everything ends with the object.
class Fleet {
public:
  struct Options {
    int m_Instances = 1;
    int m_Engines = 1;
    int m_Slots = 8; ///< Of each target.
    int m_QueueLimit = 1000;
    int m_DeadlineMilliseconds[3] = {60000, 60000, 60000}; ///< By tier.
    std::string m_EngineFlags = "--decode_rate=200";
    std::string m_ExtraSettings; ///< YAML sections added to the settings.
  };

  struct Instance {
    Process m_Process;
    int m_CallerPort = 0;
    int m_OperatorPort = 0;
    int m_PeerPort = 0;
    std::string m_SettingsFile;
    std::string m_LogFile;
    std::string m_TraceFile;
  };

  explicit Fleet(const Options &Wanted);
  ~Fleet();

  /// Starts instance \p Index, again after it ended.
  void start(int Index);
  /// Waits until all instances have the configuration in force and every tier
  /// is admitted in every pool.
  bool waitUntilServing();
  /// Publishes the fleet configuration. \returns the answer.
  Reply publish(int Index, int Base, const std::string &Change,
                const std::string &Text);
  Reply callOperatorApi(int Index, const std::string &Path);
  boost::json::object status(int Index);
  /// The configuration for this fleet; every target leaving that is named.
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
  /// All log lines of all instances that ever ran in this fleet.
  std::vector<std::string> logLines() const;
  /// Lines that report a failure no part should ever have; empty is right.
  std::string internalFailures() const;
  /// Whether any fleet of this program had one: TestMain fails then.
  static bool hadInternalFailures();

private:
  void writeSettings(Instance &Which, int Index) const;

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

/// The path of a program that the build made.
std::string program(const std::string &Name);
/// A call to the application pool `seats` by the account `box-office`.
http::RequestMessage applicationRequest(const std::string &Path,
                                        const std::string &Identity,
                                        const std::string &Body = "x");
/// A completion by the account `box-office`.
http::RequestMessage completionRequest(const std::string &Prompt, int Tokens,
                                       bool IsStream,
                                       const std::string &Tier = "");
/// The text of a completion's answer, streamed or not.
std::string completionText(const Reply &Response);
/// How often the application executed \p Identity.
std::int64_t executionsOf(int ApplicationPort, const std::string &Identity);
std::string issueTicket(int CallerPort);

} // namespace yardrill::tests

#endif
