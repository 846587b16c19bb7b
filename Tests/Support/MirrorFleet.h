//===-- MirrorFleet.h - Instances, as far as they hear of the store -------===//
//
// All share one process. Each answers its peers over a link of its own, which
// can be as slow as that of a small machine.
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

/// Bytes a second of 10 Mbit/s, the smallest machines' link.
constexpr double SmallLinkRate = 1.25e6;

class MirrorInstance {
public:
  explicit MirrorInstance(boost::asio::io_context &Context);

  /// What its reports tell the others.
  gateway::FetchCandidate asFetchCandidate() const;
  /// Whether its subscribers were told of the key's value at that revision, or
  /// of a newer one.
  bool hasDelivered(const std::string &Key, platform::Revision At) const;
  std::size_t bytesSent() const;
  platform::StoreMirror &mirror() { return m_Mirror; }
  gateway::MirrorFetcher &fetcher() { return m_Fetcher; }
  LoopbackProxy &link() { return m_Link; }

private:
  config::Endpoint m_Endpoint;
  config::Endpoint m_ProxyEndpoint; ///< Where the others reach it.
  peer::PeerCodec m_Codec{"key"};
  metrics::MetricsRegistry m_Metrics;
  platform::StoreMirror m_Mirror;
  gateway::MirrorFetcher m_Fetcher;
  LoopbackProxy m_Link;
  std::map<std::string, platform::Revision> m_Delivered;
};

class MirrorFleet {
public:
  /// Adds an instance that begins with \p Content, read at \p At.
  MirrorInstance &add(platform::Revision At,
                      const std::vector<platform::Entry> &Content);
  MirrorInstance &instance(std::size_t Index) { return *m_Instances.at(Index); }
  std::size_t size() const { return m_Instances.size(); }
  /// From now on each hears what the others' reports say. Call it once.
  void start();
  bool haveAllDelivered(const std::string &Key, platform::Revision At) const;

  void runFor(std::chrono::milliseconds Time) { m_Context.run_for(Time); }
  /// \returns how long it took, or \p Most if it did not happen in that time.
  std::chrono::milliseconds runUntil(const std::function<bool()> &Condition,
                                     std::chrono::milliseconds Timeout);

private:
  void fetchPeriodically(boost::asio::yield_context Yield);
  void fetchFromPeers(MirrorInstance &Which);

  boost::asio::io_context m_Context{1};
  std::vector<std::unique_ptr<MirrorInstance>> m_Instances;
};

} // namespace yardrill::tests

#endif
