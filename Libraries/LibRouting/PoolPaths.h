//===-- PoolPaths.h - Whether this instance reaches the targets of a pool -===//
//
// An instance can lose its path to all targets of a pool while its callers, the
// store and its peers still reach it. That is judged from the connections it
// opens and from the bytes it receives, over several targets: a single one may
// be down, or silent for a second, on its own account.
//
// Does no I/O and reads no clock.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBROUTING_POOLPATHS_H
#define YARDRILL_LIBROUTING_POOLPATHS_H

#include "LibCore/Time.h"
#include "LibRouting/Target.h"

#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace yardrill::routing {

/// State of the path from this instance to the targets of a pool.
enum class PathState {
  Open,
  /// Connecting failed at several targets; open connections still deliver.
  NoNewConnections,
  /// Connecting failed at several targets, and none has sent anything since.
  Lost,
};

/// Returns the state's name as logs show it.
const char *toString(PathState State);

/// Tracks the paths to all pools; owned by PathMonitor.
class PoolPaths {
public:
  /// Called when the state of a pool's path has changed.
  using ChangeCallback = std::function<void(const core::PoolName &, PathState)>;

  explicit PoolPaths(ChangeCallback OnChange)
      : m_OnChange(std::move(OnChange)) {}

  /// Records that a target of the pool has sent bytes.
  void recordHeard(const core::PoolName &Pool, core::TimePoint Now);
  /// Records that a connection to a target of the pool was opened.
  void recordConnected(const core::PoolName &Pool, core::TimePoint Now);
  /// Records that a connection to a target could not be opened. Ignored if
  /// another one was opened since this one was begun.
  /// \param PoolTargets number of targets that this instance may use.
  void recordConnectFailure(const Target &Failed, std::size_t PoolTargets,
                            core::TimePoint BegunAt, core::TimePoint Now);
  /// Forgets old failures. To be called a few times a second.
  void removeExpired(core::TimePoint Now);

  PathState stateOf(const core::PoolName &Pool) const;
  /// Whether all paths are open, as far as this instance knows.
  bool areAllOpen() const { return m_Impaired.empty(); }
  /// Returns the pools whose path is not open.
  std::vector<core::PoolName> impairedPools() const;
  /// Returns when a target of the pool last sent bytes; the epoch if none has.
  core::TimePoint heardAt(const core::PoolName &Pool) const;

private:
  /// Failures since a connection to the pool was last opened.
  struct FailedConnects {
    /// Time of the latest failure at each target.
    std::map<core::TargetName, core::TimePoint> m_At;
    std::size_t m_PoolTargets = 0;
  };

  PathState judge(const core::PoolName &Pool) const;
  /// Forgets failures that are too old to count.
  static void removeExpired(FailedConnects &Failures, core::TimePoint Now);
  /// Updates the pool's state and reports a change.
  void update(const core::PoolName &Pool);

  ChangeCallback m_OnChange;
  std::unordered_map<core::PoolName, core::TimePoint> m_HeardAt;
  /// Time at which a connection was last opened.
  std::unordered_map<core::PoolName, core::TimePoint> m_ConnectedAt;
  std::map<core::PoolName, FailedConnects> m_Failures;
  /// States other than Open.
  std::map<core::PoolName, PathState> m_Impaired;
};

} // namespace yardrill::routing

#endif
