//===-- TargetEnds.h - Whether a target ended when an answer broke off ----===//
//
// An answer breaks off because its target ended, because its connection was
// reset, or because the target gave up that one answer. Only a target that has
// ended refuses connections: its process is gone, and another one is seconds
// away. The store tells of it too late, after several missing heartbeats.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_LIBGATEWAY_TARGETENDS_H
#define YARDRILL_LIBGATEWAY_TARGETENDS_H

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
enum class Presence {
  Listens, ///< Somebody answers at its address.
  Gone,    ///< Nobody listens there.
  Unknown, ///< Nothing came back.
};

struct TargetEndsHooks {
  /// Tries a new connection.
  std::function<Presence(const routing::Target &, boost::asio::yield_context)>
      m_Probe;
  /// A target ended while a request with that content was under way there.
  std::function<void(const routing::Target &,
                     const quarantine::ContentDigest &)>
      m_EndedUnder;
};

class TargetEnds {
public:
  TargetEnds(boost::asio::io_context &Context, TargetEndsHooks Hooks)
      : m_Context(Context), m_Hooks(std::move(Hooks)) {}

  /// An answer of \p Which broke off. Returns once a new connection has said
  /// what it can; all answers that break off together share one.
  void noteBroken(const routing::Target &Which,
                  const quarantine::ContentDigest &Content,
                  boost::asio::yield_context Yield);
  /// Others say that the run has ended: nobody listens at its address, another
  /// run answers there, or its announcement is gone. Counts for answers after
  /// which a new connection said nothing.
  void noteEnded(const routing::TargetIncarnation &Run);
  /// Forgets what nothing was heard of for a while. To be called a few times a
  /// second.
  void upkeep(core::TimePoint Now);

private:
  /// Answers of one run that broke off lately.
  struct Broken {
    Broken(boost::asio::io_context &Context, routing::Target Which)
        : m_Which(std::move(Which)), m_Probed(Context) {}

    routing::Target m_Which;
    std::vector<quarantine::ContentDigest> m_Contents; ///< Not told yet.
    bool m_IsProbing = false;
    bool m_HasEnded = false;
    core::TimePoint m_LastAt{};
    core::Timer m_Probed; ///< Cancelled when it is known.
  };
  using BrokenHandle = std::shared_ptr<Broken>;

  void probe(const BrokenHandle &Which, boost::asio::yield_context Yield);
  void tell(Broken &Which);

  boost::asio::io_context &m_Context;
  TargetEndsHooks m_Hooks;
  std::map<routing::TargetIncarnation, BrokenHandle> m_Broken;
};

} // namespace yardrill::gateway

#endif
