//===-- TargetExitDetector.h - Detects exits of target processes ----------===//
//
// A response breaks because its target exited, because its connection was
// reset, or because the target gave up that one response. Only an exited target
// refuses connections: its process is gone, and another one takes seconds to
// start. The store reports an exit too late, after several missed heartbeats.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_TARGETEXITDETECTOR_H
#define YARDRILL_LIBGATEWAY_TARGETEXITDETECTOR_H

#include "LibCore/Time.h"
#include "LibCore/Timer.h"
#include "LibQuarantine/ContentDigest.h"
#include "LibRouting/Target.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace yardrill::gateway {

/// Outcome of a connection attempt to a target's address.
enum class ProbeResult {
  Listens, ///< The connection was accepted.
  Gone,    ///< The connection was refused, since no process listens.
  Unknown, ///< The attempt failed otherwise, such as by a timeout.
};

/// What TargetExitDetector needs from the gateway, and notifies it of.
struct TargetExitDetectorHooks {
  /// Tries to open a new connection.
  std::function<ProbeResult(const routing::Target &,
                            boost::asio::yield_context)>
      m_Probe;
  /// Called when a target exited while it ran requests with these contents.
  std::function<void(const routing::Target &,
                     const std::vector<quarantine::ContentDigest> &)>
      m_ReportExit;
};

/// Finds the requests during which a target exited, and reports their contents,
/// which the quarantine counts. GatewayRequest calls it for broken responses.
class TargetExitDetector {
public:
  TargetExitDetector(boost::asio::io_context &Context,
                     TargetExitDetectorHooks Hooks)
      : m_Context(Context), m_Hooks(std::move(Hooks)) {}

  /// Records that a response of \p Target to a request with these contents
  /// broke. Returns when a probe has
  /// ended, or at once if the exit is known; concurrent broken responses share
  /// a probe.
  void
  noteBrokenResponse(const routing::Target &Target,
                     const std::vector<quarantine::ContentDigest> &Contents,
                     boost::asio::yield_context Yield);
  /// Whether recent responses of the incarnation broke without a known cause,
  /// so that evidence of its exit would count.
  bool hasBrokenResponses(const routing::TargetIncarnation &Incarnation) const;
  /// Records other evidence that an incarnation exited: a refused connection,
  /// another incarnation at its address, or the removal of its announcement.
  /// Decides for broken responses whose probe had no result.
  void noteTargetExit(const routing::TargetIncarnation &Incarnation);
  /// Removes broken responses too old for evidence of an exit. To be called a
  /// few times a second.
  void upkeep(core::TimePoint Now);

private:
  /// Recent broken responses of one incarnation.
  struct BrokenResponses {
    BrokenResponses(boost::asio::io_context &Context, routing::Target Target)
        : m_Target(std::move(Target)), m_ProbeDone(Context) {}

    routing::Target m_Target;
    std::vector<quarantine::ContentDigest> m_Contents; ///< Not reported yet.
    bool m_IsProbing = false;
    bool m_HasExited = false;
    core::TimePoint m_LastBrokenAt{};
    core::Timer m_ProbeDone; ///< Cancelled when the probe ends.
  };
  using BrokenResponsesHandle = std::shared_ptr<BrokenResponses>;

  void probe(const BrokenResponsesHandle &Broken,
             boost::asio::yield_context Yield);
  void reportExit(BrokenResponses &Broken);

  boost::asio::io_context &m_Context;
  TargetExitDetectorHooks m_Hooks;
  std::map<routing::TargetIncarnation, BrokenResponsesHandle> m_BrokenResponses;
};

} // namespace yardrill::gateway

#endif
