//===-- MirrorFleet.h - Store mirrors that fetch from each other ----------===//
//
// All instances share one process. Each serves its peers over a proxy that can
// limit the rate to that of a slow link. Used by StoreSpreadTest and the
// store_spread program.
//
//===----------------------------------------------------------------------===//
#ifndef YARDRILL_TESTS_SUPPORT_MIRRORFLEET_H
#define YARDRILL_TESTS_SUPPORT_MIRRORFLEET_H

#include "LibGateway/MirrorFetcher.h"
#include "LoopbackProxy.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace yardrill::tests {

/// Rate of a 10 Mbit/s link, as the smallest machines have, in bytes per
/// second.
constexpr double SmallLinkRate = 1.25e6;

/// Store mirror of one instance, with its fetcher and a proxy as its link.
class MirrorInstance {
public:
  explicit MirrorInstance(boost::asio::io_context &Context);

  /// Returns the state that the instance reports to its peers.
  gateway::FetchCandidate asFetchCandidate() const;
  /// Whether the mirror has delivered the key's value of revision \p At, or a
  /// newer one, to its subscribers.
  bool hasDelivered(const std::string &Key, platform::Revision At) const;
  std::size_t bytesSent() const;
  platform::StoreMirror &mirror() { return m_Mirror; }
  gateway::MirrorFetcher &fetcher() { return m_Fetcher; }
  LoopbackProxy &link() { return m_Link; }

private:
  config::Endpoint m_Endpoint;
  config::Endpoint m_ProxyEndpoint; ///< Address for its peers.
  peer::PeerCodec m_Codec{"key"};
  metrics::MetricsRegistry m_Metrics;
  platform::StoreMirror m_Mirror;
  gateway::MirrorFetcher m_Fetcher;
  LoopbackProxy m_Link;
  std::map<std::string, platform::Revision> m_Delivered;
};

/// Instances whose mirrors fetch changes from each other.
class MirrorFleet {
public:
  /// Adds an instance whose mirror contains \p Content of revision \p At.
  MirrorInstance &add(platform::Revision At,
                      const std::vector<platform::Entry> &Content);
  MirrorInstance &instance(std::size_t Index) { return *m_Instances.at(Index); }
  std::size_t size() const { return m_Instances.size(); }
  /// Starts to fetch between the instances. Must be called once.
  void start();
  bool haveAllDelivered(const std::string &Key, platform::Revision At) const;

  void runFor(std::chrono::milliseconds Time) { m_Context.run_for(Time); }
  /// Runs until \p Condition holds. \returns the elapsed time, at most
  /// \p Timeout.
  std::chrono::milliseconds runUntil(const std::function<bool()> &Condition,
                                     std::chrono::milliseconds Timeout);

private:
  void fetchPeriodically(boost::asio::yield_context Yield);
  void fetchFromPeers(MirrorInstance &Receiver);

  boost::asio::io_context m_Context{1};
  std::vector<std::unique_ptr<MirrorInstance>> m_Instances;
};

} // namespace yardrill::tests

#endif
