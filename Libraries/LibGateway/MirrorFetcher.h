//===-- MirrorFetcher.h - What the store said, from one instance to another
//===//
#ifndef YARDRILL_LIBGATEWAY_MIRRORFETCHER_H
#define YARDRILL_LIBGATEWAY_MIRRORFETCHER_H

#include "LibConfig/Endpoint.h"
#include "LibCore/Time.h"
#include "LibGateway/MirrorServer.h"
#include "LibHTTP/Message.h"
#include "LibMetrics/MetricsRegistry.h"
#include "LibPeer/PeerCodec.h"
#include "LibPlatform/StoreMirror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace yardrill::gateway {

/// A peer that may be asked, as its last report described it.
struct FetchCandidate {
  config::Endpoint m_Address;
  platform::Revision m_Revision; ///< Of its mirror.
  platform::Revision
      m_CompleteRevision; ///< Up to which it has all values, too.
  /// In this instance's data hall.
  bool m_IsInSameHall = false;
};

/// Serves the mirror to other instances, and asks one of them when this one is
/// behind: it is turned away by the store, does not follow it, or has just
/// started. News of changes and large values are asked for apart, so that
/// neither waits for the other.
class MirrorFetcher {
public:
  /// Listens for TCP on \p Address.
  /// \param LinkBytesPerSecond of this instance's link.
  /// \throws core::Error of kind AddressInUse.
  MirrorFetcher(boost::asio::io_context &Context,
                const config::Endpoint &Address, const peer::PeerCodec &Codec,
                platform::StoreMirror &Mirror,
                metrics::MetricsRegistry &Metrics, double LinkBytesPerSecond);

  /// Asks some of those that are further on, if it is time to.
  /// \param Ahead peers that have what this instance has not.
  /// \param MayWaitForStore the store itself will probably say the same soon.
  void fetchIfDue(const std::vector<FetchCandidate> &PeersAhead,
                  bool MayWaitForStore, core::TimePoint Now);

private:
  /// Questions of one kind: one at a time.
  struct FetchState {
    bool m_IsFetching = false;
    core::TimePoint m_BehindSince{}; ///< Zero: is not behind.
    core::TimePoint m_RetryAt{};     ///< After a refusal.
  };
  using Candidates = std::vector<FetchCandidate>;

  void fetchChangesIfDue(const Candidates &PeersAhead, bool MayWaitForStore,
                         core::TimePoint Now);
  void fetchValueIfDue(const Candidates &PeersAhead, bool MayWaitForStore,
                       core::TimePoint Now);
  /// One of \p From at random, of the own data hall if there is one. Not empty.
  const FetchCandidate &chooseSource(const Candidates &From);
  /// Notes that it is behind. \returns whether to ask now.
  bool isFetchDue(FetchState &State, bool MayWaitForStore,
                  core::TimePoint Now) const;
  /// Runs \p Question; a failure is logged and may be tried again.
  void startFetch(FetchState &State, const config::Endpoint &From,
                  std::function<void(boost::asio::yield_context)> Operation);
  void fetchChanges(const config::Endpoint &From,
                    boost::asio::yield_context Yield);
  void fetchValue(const config::Endpoint &From, const std::string &Key,
                  boost::asio::yield_context Yield);
  /// \throws core::Error of kind Conflict when its base is not here any more.
  std::string applyTransfer(const std::string &Key,
                            const ValueTransfer &Transfer) const;
  /// \returns what the peer answered, unsealed; none when it has not got it or
  /// is busy.
  std::optional<std::string> exchange(const config::Endpoint &From,
                                      http::RequestMessage Request,
                                      boost::asio::yield_context Yield);
  void backOff(FetchState &State);

  boost::asio::io_context &m_Context;
  const peer::PeerCodec &m_Codec;
  platform::StoreMirror &m_Mirror;
  metrics::MetricsRegistry &m_Metrics;
  MirrorServer m_Server;
  FetchState m_Changes;
  FetchState m_Values;
  /// The last peer asked for a value refused: those that are nearest, and those
  /// that have the newest, may all be busy.
  bool m_WasRefused = false;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
