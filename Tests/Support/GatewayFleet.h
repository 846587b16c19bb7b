//===-- GatewayFleet.h - Several gateways before targets that can end -----===//
#ifndef YARDRILL_TESTS_SUPPORT_GATEWAYFLEET_H
#define YARDRILL_TESTS_SUPPORT_GATEWAYFLEET_H

#include "ExitingTarget.h"
#include "PlatformDialect.h"
#include "Process.h"
#include "TestClient.h"

#include "LibGateway/Gateway.h"

#include <future>
#include <thread>

namespace yardrill::tests {

/// Gateways as they are, with their peers' messages, each on a loop and thread
/// of its own as in a process; the store is a mock that outlives them.
class GatewayFleet {
public:
  GatewayFleet(std::size_t Gateways, std::size_t Targets);
  ~GatewayFleet();

  /// Starts the gateway at \p Index, which must be down.
  void start(std::size_t Index);
  void startAll();
  /// Ends it without a word, as a kill does.
  void kill(std::size_t Index);
  void killAll();
  /// Waits until each one is ready and has found all others.
  bool waitUntilReady();

  /// Runs \p What where the targets run, and waits for it.
  void runOnTargetThread(const std::function<void()> &Task);
  std::size_t size() const { return m_Instances.size(); }
  SharedStore &store() { return m_Store; }
  ExitingTarget &target(std::size_t Index) { return *m_Targets[Index]; }
  std::size_t targets() const { return m_Targets.size(); }

  static http::RequestMessage request(const std::string &Path,
                                      const std::string &Body);
  Reply send(std::size_t Gateway, const std::string &Path,
             const std::string &Body);
  /// A gauge or counter of one gateway; 0: it has none of that name.
  double metric(std::size_t Gateway, const std::string &Name);
  std::size_t arrivalsOf(const std::string &Body);
  /// All arrivals at one target so far, in their order.
  std::vector<core::TimePoint> arrivalsAt(std::size_t Target);
  /// Targets that ended under a request so far.
  std::size_t exits();
  /// Arrivals of \p Body later than \p After the end of the third target.
  std::size_t arrivalsAfterThirdExit(const std::string &Body,
                                     core::Duration After);

private:
  struct Instance {
    int m_CallerPort = freePort();
    int m_ReadinessPort = freePort();
    int m_PeerPort = freePort();
    int m_MetricsPort = freePort();
    std::unique_ptr<asio::io_context> m_Context;
    std::unique_ptr<gateway::Gateway> m_Gateway;
    std::thread m_Thread;
    bool m_HasRun = false;
  };

  asio::io_context m_Context{1}; ///< Of the targets.
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
