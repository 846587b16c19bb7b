//===-- Deployment.h - The system under test of a soak --------------------===//
#ifndef YARDRILL_TESTS_SOAK_DEPLOYMENT_H
#define YARDRILL_TESTS_SOAK_DEPLOYMENT_H

#include "InvariantChecker.h"
#include "LoopbackProxy.h"
#include "Process.h"
#include "SoakTarget.h"

#include <boost/json.hpp>
#include <memory>
#include <random>

namespace yardrill::soak {

struct DeploymentShape {
  std::size_t m_Gateways = 4;
  std::size_t m_TargetsPerPool = 4;
  std::string m_Program; ///< Path of the yardrill binary.
  std::string m_StandIn; ///< Path of the stand_in binary.
  std::string m_Folder;  ///< Existing folder for settings and logs.
};

/// Account that stays below its limit, so that all its requests are owed.
inline constexpr const char *ModestAccount = "modest";

/// A configuration version that the store accepted.
struct AcceptedVersion {
  std::uint64_t m_Number = 0;
  TimePoint m_AcceptedAt;
};

/// Runs the store's stand-in and the gateways as processes, and the targets
/// within this process. Each gateway has its own loopback address and reaches
/// the store through its own proxy. Methods that take a yield context throw
/// core::Error when the store can't be reached.
class Deployment {
public:
  Deployment(boost::asio::io_context &Context, InvariantChecker &Checker,
             const DeploymentShape &Shape, std::mt19937_64 &Random);
  ~Deployment();

  /// Starts every gateway, once the store holds the configuration and targets.
  void start(boost::asio::yield_context Yield);

  std::size_t gateways() const { return m_Gateways.size(); }
  boost::asio::ip::tcp::endpoint callerAddress(std::size_t Gateway) const;
  /// Returns the same by way of callerProxy().
  boost::asio::ip::tcp::endpoint proxiedAddress(std::size_t Gateway) const;
  boost::asio::ip::tcp::endpoint readinessAddress(std::size_t Gateway) const;
  /// Number of processes of this gateway that preceded the current one.
  std::size_t restartCount(std::size_t Gateway) const {
    return m_Gateways[Gateway].m_Restarts;
  }
  bool isRunning(std::size_t Gateway) const {
    return m_Gateways[Gateway].m_Process.isRunning();
  }
  std::size_t targets() const { return m_Targets.size(); }
  SoakTarget &target(std::size_t Index) { return *m_Targets[Index]; }
  tests::LoopbackProxy &storeProxy(std::size_t Gateway) {
    return *m_Gateways[Gateway].m_StoreProxy;
  }
  /// Proxy between some of the callers and a gateway.
  tests::LoopbackProxy &callerProxy(std::size_t Gateway) {
    return *m_Gateways[Gateway].m_CallerProxy;
  }
  const std::vector<AcceptedVersion> &versions() const { return m_Versions; }
  /// Returns the newest version sent to the store, which gateways may apply
  /// before the store's response arrives here.
  std::uint64_t newestSentVersion() const { return m_NextVersion - 1; }

  // Faults. They have no effect on a gateway that is down.
  void killGateway(std::size_t Gateway);
  void stopGateway(std::size_t Gateway);
  /// Sends another SIGTERM to a gateway that stops.
  void repeatStop(std::size_t Gateway);
  /// Whether the gateway's process was killed since then. How its connections
  /// ended tells nothing in that case.
  bool wasKilledSince(std::size_t Gateway, TimePoint Since) const;
  /// Whether the gateway's process has stood still since then, so that it has
  /// read nothing that was sent later.
  bool isFrozenSince(std::size_t Gateway, TimePoint Since) const;
  /// Stops the gateway for good. Another one takes its place, at a new address.
  void replaceGateway(std::size_t Gateway);
  void signalGateway(std::size_t Gateway, int Signal);
  void freezeStore(bool IsFrozen);
  /// Posts settings to the control endpoint of the store's stand-in.
  void controlStore(const boost::json::object &Settings,
                    boost::asio::yield_context Yield);
  /// Publishes a new configuration version.
  void publish(boost::asio::yield_context Yield);
  /// Makes the target announce that it leaves, then exit and restart.
  void replaceTarget(std::size_t Index, boost::asio::yield_context Yield);
  /// Starts canary targets of another version, as many as the pool has targets.
  void startVersion(const std::string &Pool, const std::string &Version,
                    const ResponseFaults &Faults,
                    boost::asio::yield_context Yield);
  /// Replaces the pool's targets by the canary targets, as after a completed
  /// roll-out; the old ones stop at once.
  void promoteNewVersion(const std::string &Pool,
                         boost::asio::yield_context Yield);
  /// Makes the canary targets leave, as after a roll-back.
  void discardNewVersion(boost::asio::yield_context Yield);
  void putRolloutOrder(const std::string &Pool, const std::string &Version,
                       std::chrono::seconds BakeTime,
                       boost::asio::yield_context Yield);
  /// Returns the roll-out state that operators read, as JSON; empty if none.
  std::string rolloutState(const std::string &Pool,
                           boost::asio::yield_context Yield);
  /// Crashes the target and restarts it after \p DownFor, under a new name or
  /// under the one it had.
  void crashTarget(std::size_t Index, std::chrono::milliseconds DownFor,
                   boost::asio::yield_context Yield);

  /// Restarts gateways that exited, kills those that exceed the stop grace, and
  /// notes which pools have too few sound targets.
  /// Must be called periodically.
  void supervise();

private:
  /// Makes the target at that index crash when it serves a bad content.
  void installExitHook(std::size_t Index);

  struct Gateway {
    std::string m_Address;
    std::unique_ptr<tests::LoopbackProxy> m_StoreProxy;
    std::unique_ptr<tests::LoopbackProxy> m_CallerProxy;
    tests::Process m_Process;
    std::size_t m_Restarts = 0;
    bool m_IsExitExpected = false;
    bool m_IsReplaced = false; ///< The next process has a new address.
    TimePoint m_StoppingSince;
    TimePoint m_KilledAt;
    std::optional<TimePoint> m_FrozenSince; ///< Of the current process.
    TimePoint m_StartsAt;                   ///< Restart time while it is down.
  };

  void writeSettings(std::size_t Index, bool IsFirstStart) const;
  void startGateway(std::size_t Index, bool IsFirstStart);
  void handleGatewayExit(std::size_t Index, int ExitCode);
  void noteTargetShortages();
  void put(const std::string &Key, const std::string &Value,
           boost::asio::yield_context Yield);
  void remove(const std::string &Key, boost::asio::yield_context Yield);
  std::string nextTargetName();

  boost::asio::io_context &m_Context;
  InvariantChecker &m_Checker;
  DeploymentShape m_Shape;
  int m_StorePort;
  tests::Process m_Store;
  std::vector<Gateway> m_Gateways;
  std::size_t m_UsedAddresses = 0; ///< Number of gateways' addresses so far.
  std::vector<std::unique_ptr<SoakTarget>> m_Targets;
  std::vector<std::unique_ptr<SoakTarget>>
      m_CanaryTargets; ///< Of the running roll-out.
  /// Kept because faults in progress may still refer to them.
  std::vector<std::unique_ptr<SoakTarget>> m_Retired;
  std::map<std::string, bool> m_Shortages; ///< By pool.
  std::mt19937_64 &m_Random;
  std::vector<AcceptedVersion> m_Versions;
  std::uint64_t m_NextVersion = 1;
  bool m_IsPublishing = false;
  std::size_t m_NextTarget = 1;
};

} // namespace yardrill::soak

#endif
