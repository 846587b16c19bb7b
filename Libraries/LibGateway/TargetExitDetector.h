//===-- TargetExitDetector.h - Whether a target ended when an answer broke off
//----===//
//
// An answer breaks off because its target ended, because its connection was
// reset, or because the target gave up that one answer. Only a target that has
// ended refuses connections: its process is gone, and another one is seconds
// away. The store tells of it too late, after several missing heartbeats.
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

/// What a new connection says of a target.
enum class ProbeResult {
  Listens, ///< Somebody answers at its address.
  Gone,    ///< Nobody listens there.
  Unknown, ///< Nothing came back.
};

struct TargetExitDetectorHooks {
  /// Tries a new connection.
  std::function<ProbeResult(const routing::Target &,
                            boost::asio::yield_context)>
      m_Probe;
  /// A target ended while a request with that content was under way there.
  std::function<void(const routing::Target &,
                     const quarantine::ContentDigest &)>
      m_ReportExit;
};

class TargetExitDetector {
public:
  TargetExitDetector(boost::asio::io_context &Context,
                     TargetExitDetectorHooks Hooks)
      : m_Context(Context), m_Hooks(std::move(Hooks)) {}

  /// An answer of \p Which broke off. Returns once a new connection has said
  /// what it can; all answers that break off together share one.
  void noteBrokenResponse(const routing::Target &Which,
                          const quarantine::ContentDigest &Content,
                          boost::asio::yield_context Yield);
  /// Others say that the run has ended: nobody listens at its address, another
  /// run answers there, or its announcement is gone. Counts for answers after
  /// which a new connection said nothing.
  void noteTargetExit(const routing::TargetIncarnation &Incarnation);
  /// Forgets what nothing was heard of for a while. To be called a few times a
  /// second.
  void upkeep(core::TimePoint Now);

private:
  /// Answers of one run that broke off lately.
  struct BrokenResponses {
    BrokenResponses(boost::asio::io_context &Context, routing::Target Which)
        : m_Target(std::move(Which)), m_ProbeDone(Context) {}

    routing::Target m_Target;
    std::vector<quarantine::ContentDigest> m_Contents; ///< Not told yet.
    bool m_IsProbing = false;
    bool m_HasExited = false;
    core::TimePoint m_LastBrokenAt{};
    core::Timer m_ProbeDone; ///< Cancelled when it is known.
  };
  using BrokenResponsesHandle = std::shared_ptr<BrokenResponses>;

  void probe(const BrokenResponsesHandle &Which,
             boost::asio::yield_context Yield);
  void reportExit(BrokenResponses &Which);

  boost::asio::io_context &m_Context;
  TargetExitDetectorHooks m_Hooks;
  std::map<routing::TargetIncarnation, BrokenResponsesHandle> m_BrokenResponses;
};

} // namespace yardrill::gateway

#endif
