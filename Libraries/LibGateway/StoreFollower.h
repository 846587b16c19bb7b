//===-- StoreFollower.h - Keeps the mirror close behind the store ---------===//
#ifndef YARDRILL_LIBGATEWAY_STOREFOLLOWER_H
#define YARDRILL_LIBGATEWAY_STOREFOLLOWER_H

#include "LibCore/Time.h"
#include "LibPlatform/KeyValueService.h"
#include "LibPlatform/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

namespace yardrill::gateway {

/// Watches the whole store and copies it into the mirror, for as long as the
/// process runs. Loss and return of the store are logged.
class StoreFollower {
public:
  StoreFollower(boost::asio::io_context &Context,
                platform::KeyValueService &Store, platform::StoreMirror &Mirror)
      : m_Context(Context), m_Store(Store), m_Mirror(Mirror) {}

  /// \param MustWait asked every few milliseconds before the first call, with
  /// the time since the start: peers may have everything already, or soon.
  void start(std::function<bool(core::Duration)> MustWait);
  /// Whether this instance has to follow the store itself, or hears from
  /// another that does. Takes effect after the call under way.
  void setEnabled(bool IsEnabled) { m_IsEnabled = IsEnabled; }
  bool isConnected() const { return m_IsConnected; }

private:
  void pause(core::Duration Length, boost::asio::yield_context Yield);
  void run(boost::asio::yield_context Yield);
  /// Reads and watches until something fails. \throws core::Error.
  void readAndWatch(boost::asio::yield_context Yield);
  void noteConnected();
  void noteLost(const std::exception &Failure);

  boost::asio::io_context &m_Context;
  platform::KeyValueService &m_Store;
  platform::StoreMirror &m_Mirror;
  bool m_IsConnected = false;
  bool m_IsEnabled = true;
  bool m_MustReadAll = false; ///< What peers told does not suffice.
};

} // namespace yardrill::gateway

#endif
