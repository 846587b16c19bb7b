#include "LibHTTP/LinkBudget.h"

#include <algorithm>
#include <cmath>

namespace yardrill::http {

/// The rest is for peers, the store, acknowledgements and retransmissions.
static constexpr double LinkShare = 0.75;
/// Time for which unused bandwidth is kept, and for which a queue counts.
static constexpr double MaxUnusedSeconds = 0.25;
static constexpr double MaxQueueSeconds = 1;
/// Period of the computation, which each event of a stream would cost else.
static constexpr std::chrono::milliseconds RefillPeriod{5};
/// Headers of a packet: Ethernet, IP and TCP.
static constexpr double PacketBytes = 66;
static constexpr double MaxPacketPayload = 1448;
/// Typical size of the head of a request.
static constexpr std::size_t HeadBytes = 400;
/// Time constant of the mean bytes of a request.
static constexpr double MeanTimeConstantSeconds = 5;
/// Assumed before any request has come: callers of an idle or restarted process
/// may connect at once.
static constexpr double DefaultBytesPerRequest = 2048;

LinkBudget::LinkBudget(double LinkBytesPerSecond)
    : m_BytesPerSecond(LinkBytesPerSecond * LinkShare) {}

double LinkBudget::bytesLeft(const Direction &Each, core::TimePoint Now) const {
  double Refilled = core::toSeconds(Now - m_RefilledAt) * m_BytesPerSecond;
  return std::min(Each.m_BytesLeft + Refilled,
                  m_BytesPerSecond * MaxUnusedSeconds);
}

void LinkBudget::refill(core::TimePoint Now) {
  if (Now - m_RefilledAt < RefillPeriod)
    return;
  double Decay =
      std::exp(-core::toSeconds(Now - m_RefilledAt) / MeanTimeConstantSeconds);
  for (Direction *Each : {&m_Received, &m_Sent}) {
    Each->m_BytesLeft = bytesLeft(*Each, Now);
    Each->m_RecentBytes *= Decay;
  }
  m_RecentRequests *= Decay;
  m_RefilledAt = Now;
}

void LinkBudget::add(Direction &To, std::size_t Bytes) {
  double Payload = static_cast<double>(Bytes);
  double Packets = std::max(1.0, std::ceil(Payload / MaxPacketPayload));
  double OnLink = Payload + Packets * PacketBytes;
  To.m_RecentBytes += OnLink;
  To.m_BytesLeft =
      std::max(To.m_BytesLeft - OnLink, -m_BytesPerSecond * MaxQueueSeconds);
}

void LinkBudget::recordRequestHead(core::TimePoint Now) {
  refill(Now);
  ++m_RecentRequests;
  add(m_Received, HeadBytes);
}

void LinkBudget::recordRequestBody(std::size_t Bytes, core::TimePoint Now) {
  refill(Now);
  add(m_Received, Bytes);
}

void LinkBudget::recordRequestSent(std::size_t BodyBytes, core::TimePoint Now) {
  refill(Now);
  add(m_Sent, std::min(BodyBytes, MaxCountedBytes) + HeadBytes);
}

void LinkBudget::recordResponse(std::size_t Bytes, core::TimePoint Now) {
  refill(Now);
  add(m_Received, Bytes);
  add(m_Sent, Bytes);
}

double LinkBudget::bytesPerRequest(const Direction &Each) const {
  return m_RecentRequests < 1 ? DefaultBytesPerRequest
                              : Each.m_RecentBytes / m_RecentRequests;
}

bool LinkBudget::hasRoomFor(std::size_t Count, core::TimePoint Now) const {
  auto HasRoom = [&](const Direction &Each) {
    double Left = bytesLeft(Each, Now);
    double Needed = bytesPerRequest(Each) * static_cast<double>(Count);
    // Room for one is enough to make progress, whatever the size of requests.
    return Left > 0 && (Count <= 1 || Left >= Needed);
  };
  return HasRoom(m_Received) && HasRoom(m_Sent);
}

bool LinkBudget::isHalfUnused(std::size_t Count, core::TimePoint Now) const {
  auto IsHalfUnused = [&](const Direction &Each) {
    double Needed = bytesPerRequest(Each) * static_cast<double>(Count);
    return bytesLeft(Each, Now) - Needed >=
           m_BytesPerSecond * MaxUnusedSeconds / 2;
  };
  return IsHalfUnused(m_Received) && IsHalfUnused(m_Sent);
}

double LinkBudget::secondsLeft(core::TimePoint Now) const {
  return std::min(bytesLeft(m_Received, Now), bytesLeft(m_Sent, Now)) /
         m_BytesPerSecond;
}

} // namespace yardrill::http
