//===-- GatewayFleet.h - Several gateways and targets that exit -----------===//
#ifndef YARDRILL_TESTS_SUPPORT_GATEWAYFLEET_H
#define YARDRILL_TESTS_SUPPORT_GATEWAYFLEET_H

#include "ExitingTarget.h"
#include "PlatformDialect.h"
#include "Process.h"
#include "TargetLinks.h"
#include "TestClient.h"

#include "LibGateway/Gateway.h"

#include <future>
#include <thread>

namespace yardrill::tests {

/// Real gateways that exchange peer messages. Each has its own event loop and
/// thread, as a process would; the store is a mock that outlives them.
class GatewayFleet {
public:
  /// \param HasLinks whether setLinks() and resetLinks() may be used. The ends
  /// of targets look different through links: their ports stay open.
  GatewayFleet(std::size_t Gateways, std::size_t Targets,
               bool HasLinks = false);
  ~GatewayFleet();

  /// Gives a gateway another store from its next start on. It must outlive the
  /// fleet.
  void setStore(std::size_t Index, platform::KeyValueService &Store) {
    m_Instances[Index].m_Store = &Store;
  }
  /// Starts the gateway at \p Index, which must not be running.
  void start(std::size_t Index);
  void startAll();
  /// Stops the gateway without a shutdown, as SIGKILL does.
  void kill(std::size_t Index);
  void killAll();
  /// Blocks the event loop of the gateway, as an overloaded machine does.
  void stall(std::size_t Index, std::chrono::milliseconds Time);
  /// Waits until each gateway is ready and knows all others and all targets.
  /// \returns false on a timeout.
  bool waitUntilReady();

  /// Applies a mode to the links of a gateway to all targets.
  void setLinks(std::size_t Index, ProxyMode Mode);
  /// Resets the connections of a gateway to targets.
  void resetLinks(std::size_t Index);

  /// Runs \p Task on the thread of the targets and waits for its end.
  void runOnTargetThread(const std::function<void()> &Task);
  std::size_t size() const { return m_Instances.size(); }
  SharedStore &store() { return m_Store; }
  ExitingTarget &target(std::size_t Index) { return *m_Targets[Index]; }
  std::size_t targets() const { return m_Targets.size(); }

  static http::RequestMessage request(const std::string &Path,
                                      const std::string &Body);
  int callerPort(std::size_t Gateway) const {
    return m_Instances[Gateway].m_CallerPort;
  }
  int peerPort(std::size_t Gateway) const {
    return m_Instances[Gateway].m_PeerPort;
  }
  Reply send(std::size_t Gateway, const std::string &Path,
             const std::string &Body);
  /// Returns the value of a gauge or counter of one gateway, or 0 if it has
  /// none of that name.
  double metric(std::size_t Gateway, const std::string &Name);
  /// Returns the number of requests with \p Body that targets received.
  std::size_t arrivalsOf(const std::string &Body);
  /// Returns the number of requests with ExitPromptPart that targets received
  /// later than \p After the exit with that number, counted from 1.
  std::size_t exitPartArrivalsAfter(std::size_t Exit, core::Duration After);
  /// Returns the times of all requests that one target received, in order.
  std::vector<core::TimePoint> arrivalsAt(std::size_t Target);
  /// Returns the number of target exits caused by requests.
  std::size_t exits();
  /// Returns the number of requests with \p Body that targets received later
  /// than \p After the third exit.
  std::size_t arrivalsAfterThirdExit(const std::string &Body,
                                     core::Duration After);

private:
  struct Instance {
    int m_CallerPort = freePort();
    int m_ReadinessPort = freePort();
    int m_PeerPort = freePort();
    int m_MetricsPort = freePort();
    std::unique_ptr<TargetLinks> m_Links;         ///< Null without links.
    platform::KeyValueService *m_Store = nullptr; ///< Null: the fleet's.
    std::unique_ptr<asio::io_context> m_Context;
    std::unique_ptr<gateway::Gateway> m_Gateway;
    std::thread m_Thread;
    bool m_HasRun = false;
  };

  asio::io_context m_Context{1}; ///< Event loop of the targets.
  SharedStore m_Store;
  platform::PlatformDialect m_Dialect;
  ArrivalLog m_ArrivalLog;
  std::vector<Instance> m_Instances;
  std::vector<std::unique_ptr<ExitingTarget>> m_Targets;
  asio::executor_work_guard<asio::io_context::executor_type> m_WorkGuard{
      m_Context.get_executor()};
  std::thread m_Thread;
};

} // namespace yardrill::tests

#endif
