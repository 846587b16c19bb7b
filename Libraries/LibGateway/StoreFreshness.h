//===-- StoreFreshness.h - Proof that the mirror has all changes ----------===//
//
// The store's responses are linearizable: once the mirror has reached the
// revision that a read states, it has all changes that were acknowledged before
// the read was sent. Each read is billed, so that callers that arrive while
// others wait share one.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_STOREFRESHNESS_H
#define YARDRILL_LIBGATEWAY_STOREFRESHNESS_H

#include "LibCore/Timer.h"
#include "LibPlatform/KeyValueService.h"
#include "LibPlatform/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <memory>

namespace yardrill::gateway {

/// Confirms for callers that the mirror has all earlier changes of the store;
/// owned by Gateway.
class StoreFreshness {
public:
  StoreFreshness(boost::asio::io_context &Context,
                 platform::KeyValueService &Store,
                 const platform::StoreMirror &Mirror)
      : m_Context(Context), m_Store(Store), m_Mirror(Mirror) {}

  /// Waits until the mirror has all changes that the store has acknowledged
  /// before this call. \returns false if that is not known after Timeout.
  bool confirm(boost::asio::yield_context Yield);

  static constexpr std::chrono::milliseconds Timeout{300};
  /// Minimum time between two reads.
  static constexpr std::chrono::milliseconds ReadPeriod{100};

private:
  /// A read of the store for all callers that arrived before it was sent.
  struct Round {
    explicit Round(boost::asio::io_context &Context)
        : m_Done(Context, Timeout) {}

    core::Timer m_Done; ///< Cancelled when the read has ended.
    bool m_IsDone = false;
    bool m_IsFresh = false;
  };
  using RoundHandle = std::shared_ptr<Round>;

  /// Waits for the next read to be due and performs it.
  void run(const RoundHandle &Current, boost::asio::yield_context Yield);
  bool readAndCatchUp(boost::asio::yield_context Yield);
  void pause(core::Duration Length, boost::asio::yield_context Yield) const;

  boost::asio::io_context &m_Context;
  platform::KeyValueService &m_Store;
  const platform::StoreMirror &m_Mirror;
  RoundHandle m_Next; ///< Round whose read has not been sent; null: none.
  bool m_IsReading = false;
  core::TimePoint m_ReadAt{}; ///< Time of the last read.
};

} // namespace yardrill::gateway

#endif
