//===-- StoreFollower.h - Keeps the mirror up to date with the store ------===//
#ifndef YARDRILL_LIBGATEWAY_STOREFOLLOWER_H
#define YARDRILL_LIBGATEWAY_STOREFOLLOWER_H

#include "LibCore/Time.h"
#include "LibPlatform/KeyValueService.h"
#include "LibPlatform/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <optional>

namespace yardrill::gateway {

/// Watches the whole store and copies it into the mirror while enabled. Logs
/// when the store is lost and when it returns; owned by Gateway.
class StoreFollower {
public:
  StoreFollower(boost::asio::io_context &Context,
                platform::KeyValueService &Store, platform::StoreMirror &Mirror)
      : m_Context(Context), m_Store(Store), m_Mirror(Mirror) {}

  /// Starts to follow the store.
  /// \param MustWait called with the time since the start, every few
  /// milliseconds, until it returns false; only then is the store called. Peers
  /// may supply the state instead.
  void start(std::function<bool(core::Duration)> MustWait);
  /// Sets whether this instance follows the store, or leaves that to peers. A
  /// watch in progress ends with the next change or failure.
  void setEnabled(bool IsEnabled) { m_IsEnabled = IsEnabled; }
  bool isConnected() const { return m_IsConnected; }
  /// Returns a time at or after which the store made its last response to this
  /// instance, which may have read it much later; none before the first.
  std::optional<core::TimePoint> heardAt() const { return m_HeardAt; }

private:
  void pause(core::Duration Length, boost::asio::yield_context Yield);
  /// Follows the store while enabled, with a backoff after failures.
  void run(boost::asio::yield_context Yield);
  /// Reads the store if needed, and watches it until a call fails or the
  /// follower is disabled. \throws core::Error.
  void readAndWatch(boost::asio::yield_context Yield);
  /// \param AskedAt time at which the call was sent, or earlier.
  void noteConnected(core::TimePoint AskedAt);
  void noteLost(const std::exception &Failure);

  boost::asio::io_context &m_Context;
  platform::KeyValueService &m_Store;
  platform::StoreMirror &m_Mirror;
  bool m_IsConnected = false;
  std::optional<core::TimePoint> m_HeardAt;
  bool m_IsEnabled = true;
  bool m_MustReadAll = false; ///< The store lacks history for the watch
};

} // namespace yardrill::gateway

#endif
