//===-- MirrorFetcher.h - Fetches store state from peers ------------------===//
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

/// Peer to fetch from, as described by its last report.
struct FetchCandidate {
  config::Endpoint m_Address;
  platform::Revision m_Revision; ///< Revision of its mirror
  /// Revision up to which it also has all values.
  platform::Revision m_CompleteRevision;
  bool m_IsInSameHall = false; ///< In this instance's data hall
};

/// Serves the mirror to other instances, and fetches from one of them when this
/// one is behind, because the store rejects it, it does not follow the store,
/// or it has just started. Changes and large values are fetched independently,
/// so that neither waits for the other. Owned by PeerService.
class MirrorFetcher {
public:
  /// Listens for TCP on \p Address.
  /// \param LinkBytesPerSecond bandwidth of this instance's network link.
  /// \throws core::Error of kind AddressInUse.
  MirrorFetcher(boost::asio::io_context &Context,
                const config::Endpoint &Address, const peer::PeerCodec &Codec,
                platform::StoreMirror &Mirror,
                metrics::MetricsRegistry &Metrics, double LinkBytesPerSecond);

  MirrorServer &server() { return m_Server; }
  /// Starts to fetch changes and a pending value, if that is due.
  /// \param PeersAhead peers that have state which this instance lacks.
  /// \param MayWaitForStore whether the store is likely to deliver it soon.
  void fetchIfDue(const std::vector<FetchCandidate> &PeersAhead,
                  bool MayWaitForStore, core::TimePoint Now);

private:
  /// State of the fetches of one kind, of which one runs at a time.
  struct FetchState {
    bool m_IsFetching = false;
    /// Time at which this instance fell behind or at which its last fetch
    /// ended, whichever is later; zero: not behind.
    core::TimePoint m_BehindSince{};
    core::TimePoint m_RetryAt{}; ///< End of the backoff after a refusal
  };
  using Candidates = std::vector<FetchCandidate>;

  void fetchChangesIfDue(const Candidates &PeersAhead, bool MayWaitForStore,
                         core::TimePoint Now);
  void fetchValueIfDue(const Candidates &PeersAhead, bool MayWaitForStore,
                       core::TimePoint Now);
  /// Returns a random candidate: one in this instance's data hall if possible,
  /// or any if the last request for a value was refused. \pre \p From is not
  /// empty.
  const FetchCandidate &chooseSource(const Candidates &From);
  /// Records that this instance is behind. \returns whether to fetch now.
  bool isFetchDue(FetchState &State, bool MayWaitForStore,
                  core::TimePoint Now) const;
  /// Runs \p Operation in a coroutine. Failures are logged; later calls of
  /// fetchIfDue() retry.
  void startFetch(FetchState &State, const config::Endpoint &From,
                  std::function<void(boost::asio::yield_context)> Operation);
  void fetchChanges(const config::Endpoint &From,
                    boost::asio::yield_context Yield);
  void fetchValue(const config::Endpoint &From, const std::string &Key,
                  boost::asio::yield_context Yield);
  /// Returns the value that \p Transfer encodes.
  /// \throws core::Error of kind Conflict if the mirror no longer has its base.
  std::string applyTransfer(const std::string &Key,
                            const ValueTransfer &Transfer) const;
  /// Sends a request. \returns the verified payload of the response; none if
  /// the peer is busy or lacks what was requested. \throws core::Error on other
  /// failures.
  std::optional<std::string> exchange(const config::Endpoint &From,
                                      http::RequestMessage Request,
                                      boost::asio::yield_context Yield);
  /// Counts a refusal and delays the next fetch of this kind.
  void backOff(FetchState &State);

  boost::asio::io_context &m_Context;
  const peer::PeerCodec &m_Codec;
  platform::StoreMirror &m_Mirror;
  metrics::MetricsRegistry &m_Metrics;
  MirrorServer m_Server;
  FetchState m_Changes;
  FetchState m_Values;
  /// Whether the last request for a value was refused. If so, any data hall and
  /// any newer value will do: the preferred peers may all be busy.
  bool m_WasRefused = false;
  std::mt19937_64 m_Random;
};

} // namespace yardrill::gateway

#endif
