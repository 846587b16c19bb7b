//===-- RouteHistory.h - How long routes have led to their pools ----------===//
#ifndef YARDRILL_LIBROUTING_ROUTEHISTORY_H
#define YARDRILL_LIBROUTING_ROUTEHISTORY_H

#include "LibRouting/RoutingTable.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace yardrill::routing {

/// Time since which each route with resumable streams has led to one pool.
/// Owned by Gateway.
class RouteHistory {
public:
  /// Compares a configuration that comes into force with the previous one.
  void update(const RoutingTable &Next, core::TimePoint Now);
  /// Whether all requests on the route have gone to \p Pool for \p Time, or
  /// since the first configuration.
  bool hasLedTo(std::uint32_t Route, const core::PoolName &Pool,
                core::Duration Time, core::TimePoint Now) const;

private:
  struct Known {
    std::string m_Host;
    std::string m_Prefix;
    core::PoolName m_OnlyPool; ///< Empty if it has several.
    /// None if it is unchanged since the first configuration.
    std::optional<core::TimePoint> m_ChangedAt;
  };
  using Routes = std::unordered_map<std::uint32_t, Known>;

  /// Records a change of the routes that get the requests of one that has
  /// gone.
  void handOver(const Known &Gone, core::TimePoint Now);

  bool m_HasConfiguration = false;
  Routes m_Routes; ///< By Route::m_Hash.
};

} // namespace yardrill::routing

#endif
