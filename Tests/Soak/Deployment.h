//===-- Deployment.h - The processes that a soak runs ---------------------===//
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
  std::string m_Program; ///< The yardrill binary.
  std::string m_StandIn; ///< The stand_in binary.
  std::string m_Folder;  ///< For settings and logs; exists.
};

/// A version of the configuration that the store has taken.
struct AcceptedVersion {
  std::uint64_t m_Number = 0;
  TimePoint m_AcceptedAt;
};

/// Gateways and the store's stand-in as processes of their own, each gateway on
/// a loopback address of its own, with a proxy on its way to the store.
class Deployment {
public:
  Deployment(boost::asio::io_context &Context, InvariantChecker &Checker,
             const DeploymentShape &Shape, std::mt19937_64 &Random);
  ~Deployment();

  /// Writes configuration and targets to the store and starts every gateway.
  void start(boost::asio::yield_context Yield);

  std::size_t gateways() const { return m_Gateways.size(); }
  boost::asio::ip::tcp::endpoint callerAddress(std::size_t Gateway) const;
  boost::asio::ip::tcp::endpoint readinessAddress(std::size_t Gateway) const;
  /// Processes that ran there before the current one.
  std::size_t restartCount(std::size_t Gateway) const {
    return m_Gateways[Gateway].m_Restarts;
  }
  std::size_t targets() const { return m_Targets.size(); }
  SoakTarget &target(std::size_t Index) { return *m_Targets[Index]; }
  tests::LoopbackProxy &storeProxy(std::size_t Gateway) {
    return *m_Gateways[Gateway].m_StoreProxy;
  }
  const std::vector<AcceptedVersion> &versions() const { return m_Versions; }
  /// May be in force before the store's answer says that it is accepted.
  std::uint64_t newestSentVersion() const { return m_NextVersion - 1; }

  // Faults. A gateway that is down is left alone.
  void killGateway(std::size_t Gateway);
  void stopGateway(std::size_t Gateway);
  void signalGateway(std::size_t Gateway, int Signal);
  void freezeStore(bool IsFrozen);
  void controlStore(const boost::json::object &Settings,
                    boost::asio::yield_context Yield);
  void publish(boost::asio::yield_context Yield);
  /// The target says that it leaves, ends, and another takes its place.
  void replaceTarget(std::size_t Index, boost::asio::yield_context Yield);
  /// Starts as many targets of another version as the pool has, beside them.
  void startVersion(const std::string &Pool, const std::string &Version,
                    const ResponseFaults &How,
                    boost::asio::yield_context Yield);
  /// As on a completed order: the others of the pool are stopped at once.
  void promoteNewVersion(const std::string &Pool,
                         boost::asio::yield_context Yield);
  /// As on one that was rolled back: the new ones leave.
  void discardNewVersion(boost::asio::yield_context Yield);
  void putRolloutOrder(const std::string &Pool, const std::string &Version,
                       std::chrono::seconds BakeTime,
                       boost::asio::yield_context Yield);
  /// What operators read; empty: nothing.
  std::string rolloutState(const std::string &Pool,
                           boost::asio::yield_context Yield);
  /// It ends without a word and starts anew, every second time under the name
  /// that it had.
  void crashTarget(std::size_t Index, std::chrono::milliseconds DownFor,
                   boost::asio::yield_context Yield);

  /// Looks for processes that ended, and starts them again. To be called often.
  void supervise();

private:
  /// Lets requests end the target at that place.
  void installExitHook(std::size_t Index);

  struct Gateway {
    std::string m_Address;
    std::unique_ptr<tests::LoopbackProxy> m_StoreProxy;
    tests::Process m_Process;
    std::size_t m_Restarts = 0;
    bool m_IsExitExpected = false;
    TimePoint m_StoppingSince;
    TimePoint m_StartsAt; ///< When it is down.
  };

  void writeSettings(std::size_t Index, bool IsFirstStart) const;
  void startGateway(std::size_t Index, bool IsFirstStart);
  void handleGatewayExit(std::size_t Index, int ExitCode);
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
  std::vector<std::unique_ptr<SoakTarget>> m_Targets;
  std::vector<std::unique_ptr<SoakTarget>> m_CanaryTargets; ///< Under trial.
  /// Stopped; faults that were under way on them still look at them.
  std::vector<std::unique_ptr<SoakTarget>> m_Retired;
  std::mt19937_64 &m_Random;
  std::vector<AcceptedVersion> m_Versions;
  std::uint64_t m_NextVersion = 1;
  bool m_IsPublishing = false;
  std::size_t m_NextTarget = 1;
};

} // namespace yardrill::soak

#endif
