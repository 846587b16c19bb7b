//===-- PathMonitor.h - Finds out that the path to a pool is lost ---------===//
//
// Learns from requests, and opens connections of its own only once requests
// suggest that a path is lost, and until it is back. These connections serve
// later requests.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_PATHMONITOR_H
#define YARDRILL_LIBGATEWAY_PATHMONITOR_H

#include "LibRouting/PoolPaths.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace yardrill::gateway {

/// Callbacks through which PathMonitor queries and notifies the gateway.
struct PathMonitorHooks {
  /// Returns the configured pools.
  std::function<std::vector<core::PoolName>()> m_Pools;
  /// Returns the targets that this instance may use.
  std::function<std::vector<routing::Target>(const core::PoolName &)> m_Targets;
  /// Opens a connection to a target and keeps it for requests. \returns whether
  /// that worked.
  std::function<bool(const routing::Target &, boost::asio::yield_context)>
      m_Connect;
  /// Called when the state of a path has changed.
  std::function<void(const core::PoolName &, routing::PathState)> m_Changed;
};

/// Requests that wait for bytes of targets of one pool.
struct SilentRequests {
  std::set<core::TargetName> m_Targets;
  core::Duration m_Longest{}; ///< Time since bytes were last received.
};

/// Watches the paths to all pools; owned by Gateway.
class PathMonitor {
public:
  /// Requests that have waited for less are not silent.
  static constexpr std::chrono::milliseconds MinSilence{500};

  PathMonitor(boost::asio::io_context &Context, PathMonitorHooks Hooks);

  /// Called with each response head and each part of a response.
  void noteHeard(const core::PoolName &Pool, core::TimePoint Now) {
    m_Paths.recordHeard(Pool, Now);
  }
  /// Called when a connection to a target was opened for a request.
  void noteConnected(const core::PoolName &Pool, core::TimePoint Now) {
    m_Paths.recordConnected(Pool, Now);
  }
  /// Called when a connection to a target, begun at \p BegunAt, could not be
  /// opened.
  void noteConnectFailure(const routing::Target &Failed,
                          core::TimePoint BegunAt, core::TimePoint Now);
  /// Checks paths that are not open, or that \p Silent suggests are not. To be
  /// called a few times a second.
  void upkeep(const std::map<core::PoolName, SilentRequests> &Silent,
              core::TimePoint Now);

  const routing::PoolPaths &paths() const { return m_Paths; }

private:
  bool isSuspect(const core::PoolName &Pool, const SilentRequests *Silent,
                 core::TimePoint Now) const;
  /// Opens connections to up to \p Count targets, in rotation.
  void startChecks(const core::PoolName &Pool, std::size_t Count,
                   core::TimePoint Now);
  void check(const routing::Target &Checked, boost::asio::yield_context Yield);

  struct PoolChecks {
    core::TimePoint m_LastAt{};
    std::size_t m_Next = 0; ///< Turn among the pool's targets.
  };

  boost::asio::io_context &m_Context;
  PathMonitorHooks m_Hooks;
  routing::PoolPaths m_Paths;
  std::map<core::PoolName, PoolChecks> m_Checks;
  std::set<core::TargetName> m_Checking; ///< Targets being connected to.
};

} // namespace yardrill::gateway

#endif
