//===-- BackpressureService.h - What targets say, between instances
//--------===//
//
// An instance that may not send to a limited target hears of the limit, and of
// its end, from those that may. What changes is told at once, and again every
// second, since datagrams are lost.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_BACKPRESSURESERVICE_H
#define YARDRILL_LIBGATEWAY_BACKPRESSURESERVICE_H

#include "LibConfig/Endpoint.h"
#include "LibPeer/PeerMessage.h"
#include "LibRouting/TargetDirectory.h"

#include <functional>
#include <map>
#include <vector>

namespace yardrill::gateway {

class BackpressureService {
public:
  using Send =
      std::function<void(const config::Endpoint &, const peer::PeerBody &)>;

  BackpressureService(config::Endpoint Self, routing::TargetDirectory &Targets,
                      Send Hook)
      : m_Self(std::move(Self)), m_Targets(Targets), m_Send(std::move(Hook)) {}

  /// An answer to this instance said so.
  void noteStated(const routing::Target &Which,
                  const routing::TargetBackpressure &Backpressure,
                  core::TimePoint Now);
  /// Takes a message of another instance.
  void handle(const peer::PeerMessage &Message, core::TimePoint Now);
  /// Tells again what is due. To be called a few times a second.
  void upkeep(core::TimePoint Now);

private:
  using UpdatesByPeer =
      std::map<config::Endpoint, std::vector<peer::BackpressureEntry>>;

  /// Adds what is known of a run to the news for all that work with it.
  void add(const routing::BackpressureReport &What, core::TimePoint Now,
           UpdatesByPeer &Updates);
  void send(const UpdatesByPeer &Updates);
  /// \param Said now by the target itself, beside what is known.
  void logChange(const routing::TargetIncarnation &Incarnation,
                 const routing::TargetBackpressure &Stated) const;

  config::Endpoint m_Self;
  routing::TargetDirectory &m_Targets;
  Send m_Send;
  core::TimePoint m_LastSentAt{};
};

} // namespace yardrill::gateway

#endif
