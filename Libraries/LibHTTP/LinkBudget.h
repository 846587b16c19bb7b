//===-- LinkBudget.h - Bandwidth that is left for requests ----------------===//
#ifndef YARDRILL_LIBHTTP_LINKBUDGET_H
#define YARDRILL_LIBHTTP_LINKBUDGET_H

#include "LibCore/Time.h"

#include <cstddef>

namespace yardrill::http {

/// Compares the bytes that requests cause on a process's link with its
/// bandwidth, in each direction. More would wait in queues of the network and
/// the kernel, which the process doesn't see, and delay or drop everything that
/// it exchanges with peers. Reads no clock; not thread-safe.
class LinkBudget {
public:
  /// Bytes of a request or a response that count. TCP paces the rest of a
  /// larger one, which shares the link with others and delays them little.
  static constexpr std::size_t MaxCountedBytes = 32768;

  /// \param LinkBytesPerSecond bandwidth of the link, in each direction.
  explicit LinkBudget(double LinkBytesPerSecond);

  /// Records that the head of a request was read.
  void recordRequestHead(core::TimePoint Now);
  /// Records a part of a request's body. Those of requests that are never
  /// complete count as well.
  void recordRequestBody(std::size_t Bytes, core::TimePoint Now);
  /// Records that a request is sent to a target.
  void recordRequestSent(std::size_t BodyBytes, core::TimePoint Now);
  /// Records a part of a response, which comes from a target and goes to the
  /// caller.
  void recordResponse(std::size_t Bytes, core::TimePoint Now);
  /// Whether the link bears \p Count requests at once without a queue, going by
  /// those that it has carried recently.
  bool hasRoomFor(std::size_t Count, core::TimePoint Now) const;
  /// Whether at least half of the room that the link can have is left after
  /// \p Count requests.
  bool isHalfUnused(std::size_t Count, core::TimePoint Now) const;
  /// Returns the seconds by which the link is ahead of what it carries, in its
  /// busier direction; negative while there is a queue.
  double secondsLeft(core::TimePoint Now) const;

private:
  struct Direction {
    /// Bytes that pass at once without a queue; negative while there is one.
    double m_BytesLeft = 0;
    double m_RecentBytes = 0; ///< Decaying sum.
  };

  void refill(core::TimePoint Now);
  double bytesLeft(const Direction &Each, core::TimePoint Now) const;
  /// Returns the bytes that requests have recently taken, each.
  double bytesPerRequest(const Direction &Each) const;
  void add(Direction &To, std::size_t Bytes);

  double m_BytesPerSecond; ///< Share of the bandwidth for requests.
  Direction m_Received;
  Direction m_Sent;
  core::TimePoint m_RefilledAt{};
  double m_RecentRequests = 0; ///< Decaying count.
};

} // namespace yardrill::http

#endif
