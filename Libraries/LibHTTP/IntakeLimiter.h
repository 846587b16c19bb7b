//===-- IntakeLimiter.h - Whether to accept another connection ------------===//
#ifndef YARDRILL_LIBHTTP_INTAKELIMITER_H
#define YARDRILL_LIBHTTP_INTAKELIMITER_H

#include "LibHTTP/LinkBudget.h"
#include "LibHTTP/TransferMeter.h"

namespace yardrill::http {

/// Decides whether a server accepts another connection, so that requests which
/// it reads don't queue behind each other. A caller that is refused before its
/// request is read can send it to another instance at once.
///
/// Two resources of a process bound its intake, and both are measured: the
/// event loop, by the rate at which requests pass through and the time that it
/// takes, and the link, by the bytes that requests cause on it. The work of
/// targets counts for neither. Reads no clock.
class IntakeLimiter {
public:
  /// \param LinkBytesPerSecond bandwidth of the process's link.
  explicit IntakeLimiter(double LinkBytesPerSecond)
      : m_Link(LinkBytesPerSecond) {}

  bool mayAccept(core::TimePoint Now) const {
    return !isLoopBehind(Now) &&
           m_Link.hasRoomFor(m_Transfers.open(Now) + 1, Now);
  }
  /// Whether a server that refuses connections accepts them again: only with
  /// room for several, since each change resets connections that are being
  /// established.
  bool mayResume(core::TimePoint Now) const {
    return !isLoopBehind(Now) &&
           m_Link.isHalfUnused(m_Transfers.open(Now), Now);
  }
  const TransferMeter &transfers() const { return m_Transfers; }
  LinkBudget &link() { return m_Link; }
  const LinkBudget &link() const { return m_Link; }

private:
  /// Whether the open transfers take longer than MaxDelay.
  bool isLoopBehind(core::TimePoint Now) const;

  TransferMeter m_Transfers;
  LinkBudget m_Link;
};

} // namespace yardrill::http

#endif
