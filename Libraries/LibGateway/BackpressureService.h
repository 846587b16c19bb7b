//===-- BackpressureService.h - Shares targets' backpressure --------------===//
//
// An instance that may not send to a limited target learns of the limit, and of
// its end, from those that may. Changes are sent at once, and again every
// second since datagrams may be lost.
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

/// Applies the backpressure that targets state in responses to the throttles in
/// the target directory, and exchanges it with the other instances.
class BackpressureService {
public:
  using Send =
      std::function<void(const config::Endpoint &, const peer::PeerBody &)>;

  BackpressureService(config::Endpoint Self, routing::TargetDirectory &Targets,
                      Send Hook)
      : m_Self(std::move(Self)), m_Targets(Targets), m_Send(std::move(Hook)) {}

  /// Applies the backpressure that a response to this instance states, and
  /// sends it to the other instances if it changes what they share.
  void noteStated(const routing::Target &Target,
                  const routing::TargetBackpressure &Backpressure,
                  core::TimePoint Now);
  /// Applies a message of another instance, if it is a backpressure update.
  void handle(const peer::PeerMessage &Message, core::TimePoint Now);
  /// Removes stale throttles and repeats the reports that are due. To be called
  /// a few times a second.
  void upkeep(core::TimePoint Now);

private:
  using UpdatesByPeer =
      std::map<config::Endpoint, std::vector<peer::BackpressureEntry>>;

  /// Adds a report to the updates for all other instances that use the target.
  void add(const routing::BackpressureReport &Report, core::TimePoint Now,
           UpdatesByPeer &Updates);
  /// Sends the updates, split by the size of a datagram.
  void send(const UpdatesByPeer &Updates);
  /// Logs the backpressure that is in force for a target.
  /// \param Stated backpressure in the target's response; empty if another
  /// instance reported the change.
  void logChange(const routing::TargetIncarnation &Incarnation,
                 const routing::TargetBackpressure &Stated) const;

  config::Endpoint m_Self;
  routing::TargetDirectory &m_Targets;
  Send m_Send;
  core::TimePoint m_LastSentAt{};
};

} // namespace yardrill::gateway

#endif
